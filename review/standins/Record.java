package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** What was sent, answered and run, with the time since the start in seconds. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long began = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void line(String text) {
        out.println(String.format(Locale.ROOT, "%8.3f  %s", (System.nanoTime() - began) / 1e9, text));
    }

    double seconds() {
        return (System.nanoTime() - began) / 1e9;
    }

    @Override
    public void close() {
        out.close();
    }
}
