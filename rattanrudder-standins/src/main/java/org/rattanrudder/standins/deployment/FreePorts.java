package org.rattanrudder.standins.deployment;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;
import org.rattanrudder.core.model.Address;

/**
 * Addresses that nobody listens on.
 *
 * <p>They lie below the ports that the system gives to outgoing connections: such a port, found free, was taken by a
 * connection before the process that was to listen there had started, which then ended with "address already in use".
 */
public final class FreePorts {
    private static final int FIRST = 21_000;
    private static final int COUNT = 10_000;
    private static final AtomicInteger NEXT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 97 % COUNT));

    private FreePorts() {}

    /** Returns the next one. */
    public static Address next() {
        for (int tries = 0; tries < COUNT; tries++) {
            int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), COUNT);
            if (isFree(port)) {
                return new Address("127.0.0.1", port);
            }
        }
        throw new IllegalStateException("no free port");
    }

    private static boolean isFree(int port) {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        try (ServerSocket stream = new ServerSocket(port, 1, loopback);
                DatagramSocket datagrams = new DatagramSocket(new InetSocketAddress(loopback, port))) {
            return stream.isBound() && datagrams.isBound();
        } catch (IOException taken) {
            return false;
        }
    }
}
