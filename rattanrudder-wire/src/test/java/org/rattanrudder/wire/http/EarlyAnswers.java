package org.rattanrudder.wire.http;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/** A server that answers a request whose body it doesn't read, ends its answer in order and then resets. */
public final class EarlyAnswers {
    private EarlyAnswers() {}

    /**
     * Answers one request.
     *
     * @param answer returns the bytes of the answer to the request with a head
     * @param pauseMillis the time between the end in order and the reset, in ms
     */
    public static void answer(ServerSocket listening, UnaryOperator<String> answer, long pauseMillis)
            throws IOException, InterruptedException {
        answer(listening.accept(), answer, pauseMillis);
    }

    /** Answers one request on a connection that was accepted; without effect if none arrives. */
    public static void answer(Socket accepted, UnaryOperator<String> answer, long pauseMillis)
            throws IOException, InterruptedException {
        try (Socket socket = accepted) {
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int next = socket.getInputStream().read();
                if (next < 0) {
                    return;
                }
                head.append((char) next);
            }
            socket.getOutputStream().write(answer.apply(head.toString()).getBytes(StandardCharsets.ISO_8859_1));
            socket.shutdownOutput();
            if (pauseMillis > 0) {
                new CountDownLatch(1).await(pauseMillis, TimeUnit.MILLISECONDS);
            }
            socket.setSoLinger(true, 0);
        }
    }
}
