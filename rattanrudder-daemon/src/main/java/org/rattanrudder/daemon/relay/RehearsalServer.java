package org.rattanrudder.daemon.relay;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.daemon.relay.port.RehearsalScript;

/** The platform's store and all targets of a rehearsal, on one port of the loopback address. */
final class RehearsalServer implements AutoCloseable {
    private static final String LENGTH = "content-length:";

    private final ServerSocket listening;
    private final RehearsalScript script;

    RehearsalServer(RehearsalScript script) throws IOException {
        this.script = script;
        listening = new ServerSocket(0, 0, InetAddress.getByName("127.0.0.1"));
        inBackground(this::accept);
    }

    /** Returns where it listens. */
    Address address() {
        return new Address("127.0.0.1", listening.getLocalPort());
    }

    private interface Step {
        void run() throws IOException;
    }

    private static void inBackground(Step step) {
        Thread thread = new Thread(() -> {
            try {
                step.run();
            } catch (IOException ended) {
                // The rehearsal is over, or the relay has closed the connection.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listening.accept();
            inBackground(() -> serve(socket));
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

    /** Returns the head of the next call, whose body is read and left out. */
    private static String readCall(BufferedReader in) throws IOException {
        StringBuilder head = new StringBuilder();
        long body = 0;
        for (String line = in.readLine(); !"".equals(line); line = in.readLine()) {
            if (line == null) {
                throw new IOException("connection ended");
            }
            if (line.toLowerCase(Locale.ROOT).startsWith(LENGTH)) {
                body = Long.parseLong(line.substring(LENGTH.length()).trim());
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
        listening.close();
    }
}
