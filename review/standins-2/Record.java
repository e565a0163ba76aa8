package standins2;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Locale;

/** What was sent, answered and run, line by line with the time since the start. */
final class Record {
    private final PrintStream out;
    private final long start = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintStream(file.toFile(), "UTF-8");
    }

    synchronized void line(String text) {
        out.printf(Locale.ROOT, "%9.3f %s%n", millis() / 1000.0, text);
        out.flush();
    }

    double millis() {
        return (System.nanoTime() - start) / 1e6;
    }
}
