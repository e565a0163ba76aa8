package org.rattanrudder.wire.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanrudder.core.model.Address;

/** Servers that write without end until their connection is closed. */
class EndlessAnswerTest {
    private static final HttpTimeouts TIMEOUTS = new HttpTimeouts(500, 500, 500);
    private static final int LIMIT_BYTES = 64 * 1_024;
    private static final long WATCHED_MILLIS = 10_000;

    /** Longer than the parts of a call may take together. */
    private static final long ENDS_WITHIN_MILLIS = 6_000;

    /** More than a call takes, with what fits into the buffers of a connection. */
    private static final long MOST_BYTES = 24L << 20;

    private HttpCaller caller;
    private ServerSocket listening;

    @BeforeEach
    void listen() throws IOException {
        caller = HttpCaller.create(1);
        listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void close() throws IOException {
        listening.close();
        caller.close();
    }

    private long writeWithoutEnd(String begin, String repeated, long pauseMillis) throws Exception {
        long written = 0;
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WATCHED_MILLIS);
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

    private static Stream<Arguments> answers() {
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
                .flatMap(play -> Stream.of(0L, 10L).map(pause -> Arguments.of(play[0], play[1], play[2], pause)));
    }

    /** Guards against bytes behind a whole answer that are read for good by a connection that was closed. */
    @ParameterizedTest
    @ValueSource(longs = {0, 10})
    void bytesBehindAWholeAnswerAreNotReadOn(long pauseMillis) throws Exception {
        Address address = new Address("127.0.0.1", listening.getLocalPort());
        CompletableFuture<HttpResult> result =
                caller.fetch(address, HttpRequest.of("GET", "/").within(TIMEOUTS), LIMIT_BYTES);

        long written = writeWithoutEnd("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "more of it ", pauseMillis);

        assertThat(result.get(WATCHED_MILLIS, TimeUnit.MILLISECONDS)).isInstanceOf(HttpResult.Answered.class);
        assertThat(written).isLessThan(MOST_BYTES);
    }

    /** Guards against answers without end that are read for longer than any whole answer takes, or fill the memory. */
    @ParameterizedTest(name = "{0}, {3} ms apart")
    @MethodSource("answers")
    void aFetchFailsInTimeAndReadsNoFurther(String name, String begin, String repeated, long pauseMillis)
            throws Exception {
        Address address = new Address("127.0.0.1", listening.getLocalPort());
        long began = System.nanoTime();
        CompletableFuture<HttpResult> result =
                caller.fetch(address, HttpRequest.of("GET", "/").within(TIMEOUTS), LIMIT_BYTES);

        long written = writeWithoutEnd(begin, repeated, pauseMillis);

        assertThat(result.get(WATCHED_MILLIS, TimeUnit.MILLISECONDS)).isInstanceOf(HttpResult.Failed.class);
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began)).isLessThan(ENDS_WITHIN_MILLIS);
        assertThat(written).isLessThan(MOST_BYTES);
    }
}
