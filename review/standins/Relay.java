package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A relay as a process of its own, started with the command of the deploy file. */
final class Relay implements AutoCloseable {
    private final String name;
    private final Path settings;
    private final Path log;
    final int callers = freePort();
    final int readiness = freePort();
    private Process process;

    Relay(Path directory, String name, String store, int leaseMillis) throws IOException {
        this.name = name;
        settings = directory.resolve(name + ".json");
        log = directory.resolve(name + ".log");
        String local = "127.0.0.1:";
        Files.writeString(
                settings,
                "{\"instance\":\"" + name + "\",\"failureDomain\":\"limoilou\",\"callers\":\"" + local + callers
                        + "\",\"readiness\":\"" + local + readiness + "\",\"peers\":\"" + local + freePort()
                        + "\",\"metrics\":\"" + local + freePort() + "\",\"store\":\"" + store
                        + "\",\"regions\":[{\"failureDomain\":\"limoilou\",\"region\":\"quebec-est\"}],"
                        + "\"features\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"kvcache\","
                        + "\"stream\",\"engine\",\"tenants\",\"platform\"],"
                        + "\"bounds\":{\"retryRatio\":0.2,\"retryExtra\":52,\"retryWindowSeconds\":10,"
                        + "\"leaseMillis\":" + leaseMillis + ",\"weightsMillis\":10000,\"drainMillis\":2000,"
                        + "\"graceSeconds\":8}}");
        start();
        // Also if the case is ended from outside.
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    String name() {
        return name;
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return free.getLocalPort();
        }
    }

    /** Returns the command of the role in the deploy file. */
    private static List<String> command() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("no command in the deploy file");
        }
        return new ArrayList<>(List.of(run.group(1).split(" ")));
    }

    /** Starts the process, anew if it has ended. */
    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.environment().put("RATTANRUDDER_CONFIG", settings.toString());
        process = builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
    }

    /** Waits until it says that it is ready. */
    void awaitReady() throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (System.nanoTime() < until) {
            try (Socket socket = new Socket("127.0.0.1", readiness)) {
                socket.setSoTimeout(1_000);
                socket.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
                if (Http.read(socket.getInputStream()).status() == 200) {
                    return;
                }
            } catch (IOException notYet) {
                // It has not started.
            }
            Thread.sleep(50);
        }
        throw new IOException(name + " isn't ready: " + Files.readString(log));
    }

    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    Process process() {
        return process;
    }

    String log() throws IOException {
        return Files.readString(log);
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
