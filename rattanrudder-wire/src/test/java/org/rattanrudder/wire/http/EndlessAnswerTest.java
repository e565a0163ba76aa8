package org.rattanrudder.wire.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
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

    /** Guards against bytes behind a whole answer that are read for good by a connection that was closed. */
    @ParameterizedTest
    @ValueSource(longs = {0, 10})
    void bytesBehindAWholeAnswerAreNotReadOn(long pauseMillis) throws Exception {
        Address address = new Address("127.0.0.1", listening.getLocalPort());
        CompletableFuture<HttpResult> result =
                caller.fetch(address, HttpRequest.of("GET", "/").within(TIMEOUTS), LIMIT_BYTES);

        long written = EndlessAnswers.write(
                listening,
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                "more of it ",
                pauseMillis,
                WATCHED_MILLIS);

        assertThat(result.get(WATCHED_MILLIS, TimeUnit.MILLISECONDS)).isInstanceOf(HttpResult.Answered.class);
        assertThat(written).isLessThan(MOST_BYTES);
    }

    /** Guards against answers without end that are read for longer than any whole answer takes, or fill the memory. */
    @ParameterizedTest(name = "{0}, {3} ms apart")
    @MethodSource("org.rattanrudder.wire.http.EndlessAnswers#all")
    void aFetchFailsInTimeAndReadsNoFurther(String name, String begin, String repeated, long pauseMillis)
            throws Exception {
        Address address = new Address("127.0.0.1", listening.getLocalPort());
        long began = System.nanoTime();
        CompletableFuture<HttpResult> result =
                caller.fetch(address, HttpRequest.of("GET", "/").within(TIMEOUTS), LIMIT_BYTES);

        long written = EndlessAnswers.write(listening, begin, repeated, pauseMillis, WATCHED_MILLIS);

        assertThat(result.get(WATCHED_MILLIS, TimeUnit.MILLISECONDS)).isInstanceOf(HttpResult.Failed.class);
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began)).isLessThan(ENDS_WITHIN_MILLIS);
        assertThat(written).isLessThan(MOST_BYTES);
    }
}
