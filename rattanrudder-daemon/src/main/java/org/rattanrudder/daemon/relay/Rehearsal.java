package org.rattanrudder.daemon.relay;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.ServiceLoader;
import java.util.concurrent.TimeUnit;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import java.util.random.RandomGenerator;
import org.rattanrudder.core.continuation.OriginMessage;
import org.rattanrudder.core.continuation.StreamKey;
import org.rattanrudder.core.continuation.StreamOrigin;
import org.rattanrudder.core.fleet.LoadReport;
import org.rattanrudder.core.fleet.ReportSchedule;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.parts.PartEvent;
import org.rattanrudder.core.parts.PartKey;
import org.rattanrudder.core.parts.SharedStoreUpdate;
import org.rattanrudder.core.parts.StoreLateness;
import org.rattanrudder.core.parts.StoreUpdate;
import org.rattanrudder.core.topics.LogPosition;
import org.rattanrudder.daemon.logging.Logging;
import org.rattanrudder.daemon.relay.port.PlatformAdapter;
import org.rattanrudder.document.RelaySettings;
import org.rattanrudder.document.RelaySettings.Bounds;
import org.rattanrudder.document.RelaySettingsParser;
import org.rattanrudder.wire.peer.PeerCodec;

/**
 * Loads the classes that a relay needs at start, so that the build can dump them as a class-data sharing archive.
 *
 * <p>A restarted relay can't serve requests until its classes are loaded and verified. With the archive they are mapped
 * into memory instead. The rehearsal starts a relay on loopback, together with a store and targets that answer like the
 * platform's, and sends it requests and messages of a peer until its periodic tasks have run.
 */
public final class Rehearsal {
    private static final int MAX_START_ATTEMPTS = 5;
    private static final int READ_TIMEOUT_MILLIS = 2_000;
    private static final int MAX_SENDS = 2_000;
    private static final String PEER = "peer";
    private static final String SUCCESS_STATUS_LINE = "HTTP/1.1 200";
    private static final String STATUS_REQUEST = "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

    /** From here on the event loop no longer counts as late, and all periodic tasks have run. */
    private static final long DURATION_MILLIS = 4_000;

    private static final long REQUEST_INTERVAL_MILLIS = 100;
    private static final String SETTINGS =
            "{\"instance\":\"rehearsal\",\"failureDomain\":\"z\",\"callers\":\"127.0.0.1:1\","
                    + "\"readiness\":\"127.0.0.1:2\",\"peers\":\"127.0.0.1:3\",\"metrics\":\"127.0.0.1:4\","
                    + "\"store\":\"127.0.0.1:5\",\"regions\":[{\"failureDomain\":\"z\",\"region\":\"r\"}],"
                    + "\"bounds\":{\"retryRatio\":0.2,\"retryExtra\":10,\"retryWindowSeconds\":10,\"leaseMillis\":1000,"
                    + "\"weightsMillis\":10000,\"drainMillis\":1000,\"graceSeconds\":1}}";

    private Rehearsal() {}

    /** Runs the rehearsal and ends the process. */
    public static void main(String[] arguments) throws Exception {
        Logging.install();
        new RelaySettingsParser().parse(SETTINGS);
        loadOwnClasses();
        PlatformAdapter adapter =
                ServiceLoader.load(PlatformAdapter.class).findFirst().orElseThrow();
        try (RehearsalServer server = startServer(adapter)) {
            RelayProcess relay = null;
            for (int tries = 0; relay == null && tries < MAX_START_ATTEMPTS; tries++) {
                relay = tryToStart(adapter, server);
            }
            if (relay != null) {
                relay.close();
            }
        }
        Logging.flush();
        System.exit(0);
    }

    private static RehearsalServer startServer(PlatformAdapter adapter) throws IOException {
        for (int tries = 1; tries < MAX_START_ATTEMPTS; tries++) {
            try {
                return new RehearsalServer(adapter.rehearsal());
            } catch (IOException taken) {
                System.err.println("rehearsal: " + taken.getMessage());
            }
        }
        return new RehearsalServer(adapter.rehearsal());
    }

    private static LoadReport.ReadPositions readToFirstRecord() {
        LogPosition read = LogPosition.START.plus(1);
        return new LoadReport.ReadPositions(read, read, read, read);
    }

    /** Returns one of each kind of message that relays exchange. */
    private static List<byte[]> peerMessages(Address self, long sequence) {
        LoadReport load = LoadReport.ofTargets(
                        PEER,
                        sequence,
                        true,
                        List.of(new LoadReport.TargetLoad("i-1", 1, 1, 1)),
                        true,
                        readToFirstRecord())
                .withInterval(ReportSchedule.ROUND_MILLIS, List.of(StoreLateness.of(self, 1)));
        StoreUpdate update = new StoreUpdate(
                1, 2, false, List.of(new PartEvent(new PartKey("w1", "part"), 1, true)), OptionalLong.of(1));
        StreamKey stream = StreamKey.of("customer", "request");
        OriginMessage.Told told =
                new OriginMessage.Told(stream, Optional.of(new StreamOrigin("service", "version")), 1);
        return List.of(
                PeerCodec.write(load),
                PeerCodec.write(new SharedStoreUpdate(self, 1, update, 1)),
                PeerCodec.write(new OriginMessage(List.of(told), List.of(stream), List.of(stream))));
    }

    /** Starts a relay on free ports and sends it requests; returns null if another process has taken a port. */
    private static RelayProcess tryToStart(PlatformAdapter adapter, RehearsalServer server)
            throws InterruptedException {
        try {
            RelaySettings settings = new RelaySettings(
                    "rehearsal",
                    "nowhere",
                    freeAddress(),
                    freeAddress(),
                    freeAddress(),
                    freeAddress(),
                    server.address(),
                    new Bounds(0.2, 10, 10_000, 1_000, 10_000, 1_000, 1_000));
            RelayProcess relay = new RelayProcess(settings, adapter, RandomGenerator.getDefault());
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DURATION_MILLIS);
            for (int round = 1; System.nanoTime() < end; round++) {
                for (String request : adapter.rehearsal().requests()) {
                    sendUntilServed(settings.callers(), request);
                }
                for (byte[] message : peerMessages(server.address(), round)) {
                    server.sendAsPeer(message, settings.peers());
                }
                Thread.sleep(REQUEST_INTERVAL_MILLIS);
            }
            send(settings.readiness(), STATUS_REQUEST);
            send(settings.metrics(), STATUS_REQUEST);
            return relay;
        } catch (IOException taken) {
            System.err.println("rehearsal: " + taken.getMessage());
            return null;
        }
    }

    /** Sends a request until it is served, since the relay first has to read its configuration and targets. */
    private static void sendUntilServed(Address address, String request) throws IOException {
        for (int asked = 0; asked < MAX_SENDS; asked++) {
            if (send(address, request).startsWith(SUCCESS_STATUS_LINE)) {
                return;
            }
        }
        System.err.println(
                "rehearsal: not served: " + request.lines().findFirst().orElse(""));
    }

    private static String send(Address address, String request) throws IOException {
        try (Socket socket = new Socket(address.host(), address.port())) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            InputStream answer = socket.getInputStream();
            return new String(answer.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static void loadOwnClasses() throws IOException, ClassNotFoundException {
        Path libraries = Path.of(System.getProperty("java.class.path")).getParent();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(libraries, "rattanrudder-*.jar")) {
            for (Path file : files) {
                load(file);
            }
        }
    }

    private static void load(Path file) throws IOException, ClassNotFoundException {
        List<String> names = new ArrayList<>();
        try (JarFile jar = new JarFile(file.toFile())) {
            jar.stream()
                    .map(JarEntry::getName)
                    .filter(name -> name.endsWith(".class") && isRelayClass(name))
                    .forEach(names::add);
        }
        for (String name : names) {
            Class.forName(name.substring(0, name.length() - ".class".length()).replace('/', '.'));
        }
    }

    private static boolean isRelayClass(String name) {
        return name.matches(
                ".*/(continuation|gateway|fleet|parts|quarantine|rollout|relay|port|peer|platform)/[A-Z][^/]*"
                        + "|.*/daemon/relay/[a-z]+/[A-Z][^/]*"
                        + "|.*/daemon/(Rattanrudderd|RelayStart|Signals|Settings)[^/]*"
                        + "|.*/document/(Node|ParseResult|ValueKind|RelaySettings)[^/]*");
    }

    private static Address freeAddress() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return new Address("127.0.0.1", free.getLocalPort());
        }
    }
}
