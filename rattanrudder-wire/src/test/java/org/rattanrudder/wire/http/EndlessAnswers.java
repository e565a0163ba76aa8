package org.rattanrudder.wire.http;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.params.provider.Arguments;

/** Servers that write without end until their connection is closed, for tests of clients of any kind. */
public final class EndlessAnswers {
    private static final long PAUSE_MILLIS = 10;

    private EndlessAnswers() {}

    /**
     * Returns answers without end, one for each place where an answer may go on, each fast and slow: its name, how it
     * begins, what is repeated, and the pause between two repeats in ms.
     */
    public static Stream<Arguments> all() {
        String head = "HTTP/1.1 200 OK\r\n";
        String chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
        return Stream.of(
                        new String[] {"no answer", "", "\u0001\u0002 no answer "},
                        new String[] {"blank lines", "", "\r\n"},
                        new String[] {"status line", "HTTP/1.1 200 OK", " and more"},
                        new String[] {"header line", head + "X-Long: ", "and more "},
                        new String[] {"headers", head, "X-More: 1\r\n"},
                        new String[] {"interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
                        new String[] {"chunk size", chunked, "0"},
                        new String[] {"chunk extension", chunked + "1;", "name=value;"},
                        new String[] {"trailers", chunked + "0\r\n", "X-More: 1\r\n"},
                        new String[] {"chunks", chunked, "2\r\nok\r\n"},
                        new String[] {"declared body", head + "Content-Length: 9000000000\r\n\r\n", "more of it "},
                        new String[] {"body", head + "\r\n", "more of it "})
                .flatMap(play ->
                        Stream.of(0L, PAUSE_MILLIS).map(pause -> Arguments.of(play[0], play[1], play[2], pause)));
    }

    /**
     * Accepts a connection, and writes the same bytes until the other side closes it; returns how many were taken or
     * buffered.
     *
     * @param pauseMillis the time between two repeats, in ms; 0 to write as fast as they are taken
     * @param mostMillis how long the other side may take to close it, in ms
     */
    public static long write(ServerSocket listening, String begin, String repeated, long pauseMillis, long mostMillis)
            throws IOException, InterruptedException {
        long written = 0;
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mostMillis);
        try (Socket socket = listening.accept()) {
            socket.getOutputStream().write(begin.getBytes(StandardCharsets.ISO_8859_1));
            byte[] bytes = repeated.getBytes(StandardCharsets.ISO_8859_1);
            while (System.nanoTime() < end) {
                socket.getOutputStream().write(bytes);
                written += bytes.length;
                if (pauseMillis > 0) {
                    new CountDownLatch(1).await(pauseMillis, TimeUnit.MILLISECONDS);
                }
            }
        } catch (SocketException closed) {
            return written;
        }
        throw new AssertionError("not closed after " + written + " bytes");
    }
}
