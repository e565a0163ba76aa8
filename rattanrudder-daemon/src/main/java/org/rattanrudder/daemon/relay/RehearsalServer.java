package org.rattanrudder.daemon.relay;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.daemon.relay.port.RehearsalScript;

/** Serves the platform's store and all targets of a rehearsal on one port of the loopback address. */
final class RehearsalServer implements AutoCloseable {
    private static final String CONTENT_LENGTH = "content-length:";

    private final ServerSocket serverSocket;
    private final DatagramSocket peerSocket;
    private final RehearsalScript script;

    /**
     * Listens on a free port.
     *
     * @throws IOException if the port is taken for datagrams; another one may not be
     */
    RehearsalServer(RehearsalScript script) throws IOException {
        this.script = script;
        serverSocket = new ServerSocket(0, 0, InetAddress.getByName("127.0.0.1"));
        try {
            peerSocket = new DatagramSocket(serverSocket.getLocalSocketAddress());
        } catch (IOException taken) {
            serverSocket.close();
            throw taken;
        }
        runInBackground(this::accept);
    }

    /** Sends a relay a message, as another relay that is registered at the server's address. */
    void sendAsPeer(byte[] message, Address relay) throws IOException {
        peerSocket.send(new DatagramPacket(message, message.length, new InetSocketAddress(relay.host(), relay.port())));
    }

    /** Returns the address that the server listens on. */
    Address address() {
        return new Address("127.0.0.1", serverSocket.getLocalPort());
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void runInBackground(IoTask step) {
        Thread thread = new Thread(() -> {
            try {
                step.run();
            } catch (IOException ended) {
                // The server was closed, or the relay has closed the connection.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = serverSocket.accept();
            runInBackground(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            while (true) {
                Optional<String> answer = script.answer(readCall(in), address());
                if (answer.isPresent()) {
                    socket.getOutputStream().write(answer.get().getBytes(StandardCharsets.UTF_8));
                }
            }
        }
    }

    /** Returns the head of the next call, and skips the body. */
    private static String readCall(BufferedReader in) throws IOException {
        StringBuilder head = new StringBuilder();
        long body = 0;
        for (String line = in.readLine(); !"".equals(line); line = in.readLine()) {
            if (line == null) {
                throw new IOException("connection ended");
            }
            if (line.toLowerCase(Locale.ROOT).startsWith(CONTENT_LENGTH)) {
                body = Long.parseLong(line.substring(CONTENT_LENGTH.length()).trim());
            }
            head.append(line).append('\n');
        }
        while (body > 0) {
            body -= in.skip(body);
        }
        return head.toString();
    }

    @Override
    public void close() throws IOException {
        peerSocket.close();
        serverSocket.close();
    }
}
