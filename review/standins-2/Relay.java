package standins2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A relay, started with the command of the deploy file, with the settings of a small deployment. */
final class Relay implements AutoCloseable {
    private final String name;
    private final Path file;
    private final Path log;
    private final String callers = freeAddress();
    private final String readiness = freeAddress();
    private final String peers = freeAddress();
    private final String metrics = freeAddress();
    private Process process;

    Relay(Path directory, String name, String zone, String store) throws IOException {
        this.name = name;
        directory.toFile().deleteOnExit();
        file = directory.resolve(name + ".json");
        log = directory.resolve(name + ".log");
        Files.writeString(file, settings(zone, store));
        file.toFile().deleteOnExit();
        log.toFile().deleteOnExit();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> process.destroyForcibly()));
        start();
    }

    private String settings(String zone, String store) {
        return "{\"instance\":\"" + name + "\",\"failureDomain\":\"" + zone + "\",\"callers\":\"" + callers
                + "\",\"readiness\":\"" + readiness + "\",\"peers\":\"" + peers + "\",\"metrics\":\"" + metrics
                + "\",\"store\":\"" + store + "\",\"regions\":["
                + "{\"failureDomain\":\"depo-sever\",\"region\":\"povazie\"},"
                + "{\"failureDomain\":\"depo-juh\",\"region\":\"povazie\"},"
                + "{\"failureDomain\":\"depo-stred\",\"region\":\"povazie\"}],"
                + "\"features\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"kvcache\",\"stream\","
                + "\"engine\",\"tenants\",\"platform\"],\"bounds\":{\"retryRatio\":0.2,\"retryExtra\":52,"
                + "\"retryWindowSeconds\":10,\"leaseMillis\":3000,\"weightsMillis\":15000,\"drainMillis\":2000,"
                + "\"configurationMillis\":2000,\"graceSeconds\":8}}";
    }

    private static String freeAddress() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return "127.0.0.1:" + free.getLocalPort();
        }
    }

    /** Starts it, anew if it has ended. */
    void start() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file names no command");
        }
        ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(List.of(run.group(1).split(" "))));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("RATTANRUDDER_CONFIG", file.toString());
        process = builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
    }

    String callers() {
        return callers;
    }

    String log() throws IOException {
        return Files.readString(log);
    }

    /** Waits until it says that it is ready. */
    void awaitReady() throws Exception {
        for (int tries = 0; tries < 400; tries++) {
            Thread.sleep(50);
            try (Channel asking = Channel.to(readiness)) {
                asking.write("GET /ready HTTP/1.1\nHost: relay\nConnection: close\n\n");
                if (Message.read(asking.in).status() == 200) {
                    return;
                }
            } catch (IOException notYet) {
                // It listens later.
            }
        }
        throw new IOException("a relay isn't ready");
    }

    /** Sends a signal to the process, which this program started. */
    void signal(String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    boolean awaitEnd(long seconds) throws InterruptedException {
        return process.waitFor(seconds, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }
}
