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
 * platform's, and sends it requests until they are served.
 */
public final class Rehearsal {
    private static final int MAX_START_ATTEMPTS = 5;
    private static final int READ_TIMEOUT_MILLIS = 2_000;
    private static final int MAX_SENDS = 2_000;
    private static final String SUCCESS_STATUS_LINE = "HTTP/1.1 200";
    private static final String STATUS_REQUEST = "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

    private Rehearsal() {}

    /** Runs the rehearsal and ends the process. */
    public static void main(String[] arguments) throws Exception {
        Logging.install();
        new RelaySettingsParser().parse("{}");
        loadOwnClasses();
        encodeAndDecodePeerMessages();
        PlatformAdapter adapter =
                ServiceLoader.load(PlatformAdapter.class).findFirst().orElseThrow();
        try (RehearsalServer server = new RehearsalServer(adapter.rehearsal())) {
            RelayProcess relay = null;
            for (int tries = 0; relay == null && tries < MAX_START_ATTEMPTS; tries++) {
                relay = tryToStart(adapter, server.address());
            }
            if (relay != null) {
                relay.close();
            }
        }
        Logging.flush();
        System.exit(0);
    }

    /** Encodes and decodes the messages that relays exchange. */
    private static void encodeAndDecodePeerMessages() {
        LoadReport load = LoadReport.ofTargets(
                        "rehearsal",
                        1,
                        true,
                        List.of(new LoadReport.TargetLoad("target", 1, 1, 1)),
                        true,
                        new LoadReport.ReadOffsets(1, 1, 1))
                .withInterval(ReportSchedule.ROUND_MILLIS, List.of(StoreLateness.of(new Address("127.0.0.1", 1), 1)));
        PeerCodec.read(PeerCodec.write(load));
        StoreUpdate update = new StoreUpdate(
                1, 2, false, List.of(new PartEvent(new PartKey("w1", "part"), 1, true)), OptionalLong.of(1));
        PeerCodec.read(PeerCodec.write(new SharedStoreUpdate(new Address("127.0.0.1", 1), 1, update, 1)));
        StreamKey stream = StreamKey.of("customer", "request");
        OriginMessage.Told told =
                new OriginMessage.Told(stream, Optional.of(new StreamOrigin("service", "version")), 1);
        PeerCodec.read(PeerCodec.write(new OriginMessage(List.of(told), List.of(stream), List.of(stream))));
    }

    /** Starts a relay on free ports and sends it requests; returns null if another process has taken a port. */
    private static RelayProcess tryToStart(PlatformAdapter adapter, Address store) {
        try {
            RelaySettings settings = new RelaySettings(
                    "rehearsal",
                    "nowhere",
                    freeAddress(),
                    freeAddress(),
                    freeAddress(),
                    freeAddress(),
                    store,
                    new Bounds(0.2, 10, 10_000, 1_000, 10_000, 1_000, 1_000));
            RelayProcess relay = new RelayProcess(settings, adapter, RandomGenerator.getDefault());
            for (String request : adapter.rehearsal().requests()) {
                sendUntilServed(settings.callers(), request);
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
                        + "|.*/daemon/relay/[a-z]+/[A-Z][^/]*|.*/daemon/(Signals|Settings)[^/]*");
    }

    private static Address freeAddress() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return new Address("127.0.0.1", free.getLocalPort());
        }
    }
}
