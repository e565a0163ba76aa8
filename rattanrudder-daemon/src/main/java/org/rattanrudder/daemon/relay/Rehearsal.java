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
import java.util.ServiceLoader;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import java.util.random.RandomGenerator;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.daemon.logging.Logging;
import org.rattanrudder.daemon.relay.port.PlatformAdapter;
import org.rattanrudder.document.RelaySettings;
import org.rattanrudder.document.RelaySettings.Bounds;
import org.rattanrudder.document.RelaySettingsParser;

/**
 * Loads what a relay loads when it starts, for the build to dump as a class-data archive.
 *
 * <p>A relay that is started again takes no requests until its classes are loaded and checked. With the archive they
 * are mapped in place of that. The rehearsal starts a relay on loopback without a store and asks it once.
 */
public final class Rehearsal {
    private static final int TRIES = 5;
    private static final int ASKED_MILLIS = 2_000;

    private Rehearsal() {}

    /** Runs the rehearsal and ends the process. */
    public static void main(String[] arguments) throws Exception {
        Logging.install();
        new RelaySettingsParser().parse("{}");
        loadOwnClasses();
        PlatformAdapter adapter =
                ServiceLoader.load(PlatformAdapter.class).findFirst().orElseThrow();
        adapter.store().readListing(200, "{\"items\":[],\"end\":0}".getBytes(StandardCharsets.UTF_8));
        RelayProcess relay = null;
        for (int tries = 0; relay == null && tries < TRIES; tries++) {
            relay = tryToStart(adapter);
        }
        if (relay != null) {
            relay.close();
        }
        Logging.flush();
        System.exit(0);
    }

    /** Starts a relay on free ports and asks it; returns null if a port was taken meanwhile. */
    private static RelayProcess tryToStart(PlatformAdapter adapter) {
        try {
            RelaySettings settings = new RelaySettings(
                    "rehearsal",
                    "nowhere",
                    freeAddress(),
                    freeAddress(),
                    freeAddress(),
                    freeAddress(),
                    freeAddress(),
                    new Bounds(0.2, 10, 10_000, 1_000, 10_000, 1_000, 1_000));
            RelayProcess relay = new RelayProcess(settings, adapter, RandomGenerator.getDefault());
            ask(settings.callers());
            ask(settings.readiness());
            ask(settings.metrics());
            return relay;
        } catch (IOException taken) {
            System.err.println("rehearsal: " + taken.getMessage());
            return null;
        }
    }

    private static void ask(Address address) throws IOException {
        try (Socket socket = new Socket(address.host(), address.port())) {
            socket.setSoTimeout(ASKED_MILLIS);
            socket.getOutputStream()
                    .write("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.UTF_8));
            InputStream answer = socket.getInputStream();
            answer.readAllBytes();
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
                    .filter(name -> name.endsWith(".class") && isOfRelays(name))
                    .forEach(names::add);
        }
        for (String name : names) {
            Class.forName(name.substring(0, name.length() - ".class".length()).replace('/', '.'));
        }
    }

    private static boolean isOfRelays(String name) {
        return name.matches(".*/(gateway|fleet|parts|rollout|relay|port|peer|platform)/[A-Z][^/]*"
                + "|.*/daemon/(Signals|Settings)[^/]*");
    }

    private static Address freeAddress() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return new Address("127.0.0.1", free.getLocalPort());
        }
    }
}
