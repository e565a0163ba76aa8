package org.rattanrudder.standins.deployment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Pattern;

/** Puts ports that are free on this machine in the place of the ports that example files name. */
public final class Ports {
    private static final Pattern ADDRESS = Pattern.compile("127\\.0\\.0\\.1:(\\d+)");

    private final Map<Integer, Integer> chosen;

    private Ports(Map<Integer, Integer> chosen) {
        this.chosen = chosen;
    }

    /** Returns ports that leave every text as it is. */
    public static Ports asWritten() {
        return new Ports(Map.of());
    }

    /** Chooses a free port for each that the texts name. */
    public static Ports free(List<String> texts) {
        SortedMap<Integer, Integer> chosen = new TreeMap<>();
        named(texts).forEach(port -> chosen.put(port, FreePorts.next().port()));
        return new Ports(chosen);
    }

    /** Returns those of the ports named by the texts on which something listens already. */
    public static SortedSet<Integer> taken(List<String> texts) {
        SortedSet<Integer> taken = new TreeSet<>();
        for (int port : named(texts)) {
            try {
                release(listen(port));
            } catch (IOException inUse) {
                taken.add(port);
            }
        }
        return taken;
    }

    /** Returns the text with each address on 127.0.0.1 moved to its chosen port. */
    public String apply(String text) {
        return ADDRESS.matcher(text).replaceAll(match -> {
            int port = Integer.parseInt(match.group(1));
            return "127.0.0.1:" + chosen.getOrDefault(port, port);
        });
    }

    private static SortedSet<Integer> named(List<String> texts) {
        SortedSet<Integer> ports = new TreeSet<>();
        for (String text : texts) {
            ADDRESS.matcher(text).results().forEach(match -> ports.add(Integer.parseInt(match.group(1))));
        }
        return ports;
    }

    private static ServerSocket listen(int port) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port));
        return socket;
    }

    private static void release(ServerSocket socket) {
        try {
            socket.close();
        } catch (IOException unreleased) {
            throw new UncheckedIOException(unreleased);
        }
    }
}
