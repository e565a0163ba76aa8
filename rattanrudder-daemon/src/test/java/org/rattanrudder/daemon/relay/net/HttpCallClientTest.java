package org.rattanrudder.daemon.relay.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.rattanrudder.core.memory.ByteBudget;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.daemon.relay.port.PlatformCall;
import org.rattanrudder.wire.http.EarlyAnswers;
import org.rattanrudder.wire.http.EndlessAnswers;

class HttpCallClientTest {
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final int SHORT_TIMEOUT_MILLIS = 700;
    private static final int SLACK_MILLIS = 1_500;

    /** More than a client takes, with what fits into the buffers of a connection. */
    private static final long MOST_BYTES = 24L << 20;

    private static final String BODY = "{\"items\":[],\"end\":3}";
    private static final PlatformCall CALL =
            new PlatformCall(HttpMethod.GET, "/log-newest", EmptyHttpHeaders.INSTANCE, new byte[0]);

    private MultiThreadIoEventLoopGroup group;
    private ServerSocket listening;
    private ByteBudget budget = new ByteBudget(64 << 20);

    @BeforeEach
    void listen() throws IOException {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void close() throws IOException {
        listening.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private static String framed(String framing) {
        return switch (framing) {
            case "length" -> "Content-Length: " + BODY.length() + "\r\n\r\n" + BODY;
            case "chunks" ->
                "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(BODY.length()) + "\r\n" + BODY
                        + "\r\n0\r\n\r\n";
            default -> "\r\n" + BODY;
        };
    }

    private void answer(String answer, boolean reset) throws IOException {
        try (Socket socket = listening.accept()) {
            byte[] request = new byte[1_024];
            int read = 0;
            while (!new String(request, 0, read, StandardCharsets.ISO_8859_1).contains("\r\n\r\n")) {
                read += socket.getInputStream().read(request, read, request.length - read);
            }
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            socket.setSoLinger(reset, 0);
        }
    }

    /** Guards against lists of many stores at once that fill the memory, and against bytes that stay counted. */
    @ParameterizedTest
    @CsvSource({"0, false", "1000, true"})
    void aResponseThatFindsNoRoomFailsAndGivesBackWhatItHeld(int responses, boolean fits) throws Exception {
        budget = new ByteBudget(responses * 10L * BODY.length());
        CompletableFuture<CallResult> result = call();

        answer("HTTP/1.1 200 OK\r\n" + framed("length"), false);

        CallResult ended = result.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        assertThat(ended instanceof CallResult.Answered).isEqualTo(fits);
        assertThat(fits || ended.equals(new CallResult.Unanswered("no_room"))).isTrue();
        group.next().submit(() -> {}).sync();
        assertThat(budget.held()).isZero();
    }

    /** An order left up to 0.9 s after its sender's term, since its connection opened slowly. */
    @Test
    void aCallWhoseConditionEndsWhileItsConnectionOpensIsNotSent() throws Exception {
        Address address = new Address("127.0.0.1", listening.getLocalPort());
        CompletableFuture<CallResult> result = new CompletableFuture<>();
        AtomicBoolean due = new AtomicBoolean(true);
        EventLoop loop = (EventLoop) group.next();
        loop.execute(() -> {
            new HttpCallClient(RelayChannels.connector(group), budget, () -> address)
                    .callIf(due::get, CALL, TIMEOUT_MILLIS, result::complete);
            due.set(false);
        });

        assertThat(result.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo(CallResult.Unanswered.NOT_SENT);
        try (Socket socket = listening.accept()) {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
    }

    private CompletableFuture<CallResult> call() {
        return call(TIMEOUT_MILLIS);
    }

    private CompletableFuture<CallResult> call(long timeoutMillis) {
        return call(CALL, timeoutMillis);
    }

    private CompletableFuture<CallResult> call(PlatformCall call, long timeoutMillis) {
        Address address = new Address("127.0.0.1", listening.getLocalPort());
        CompletableFuture<CallResult> result = new CompletableFuture<>();
        EventLoop loop = (EventLoop) group.next();
        loop.execute(() -> new HttpCallClient(RelayChannels.connector(group), budget, () -> address)
                .call(call, timeoutMillis, result::complete));
        return result;
    }

    /** Guards against answers without end that fill the memory, or are read for longer than the call may take. */
    @ParameterizedTest(name = "{0}, {3} ms apart")
    @MethodSource("org.rattanrudder.wire.http.EndlessAnswers#all")
    void anAnswerWithoutEndFailsInTimeAndIsReadNoFurther(String name, String begin, String repeated, long pauseMillis)
            throws Exception {
        long began = System.nanoTime();
        CompletableFuture<CallResult> result = call(SHORT_TIMEOUT_MILLIS);

        long written = EndlessAnswers.write(listening, begin, repeated, pauseMillis, TIMEOUT_MILLIS);

        assertThat(result.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isInstanceOf(CallResult.Unanswered.class);
        assertThat(System.nanoTime() - began)
                .isLessThan(TimeUnit.MILLISECONDS.toNanos(SHORT_TIMEOUT_MILLIS + SLACK_MILLIS));
        assertThat(written).isLessThan(MOST_BYTES);
    }

    /** Guards against bytes behind a whole answer that are read for good, or taken for the next answer. */
    @ParameterizedTest
    @CsvSource({"0", "10"})
    void bytesBehindAWholeAnswerEndTheConnection(long pauseMillis) throws Exception {
        CompletableFuture<CallResult> result = call(TIMEOUT_MILLIS);

        long written = EndlessAnswers.write(
                listening, "HTTP/1.1 200 OK\r\n" + framed("length"), "\r\n", pauseMillis, TIMEOUT_MILLIS);

        assertThat(result.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isInstanceOf(CallResult.Answered.class);
        assertThat(written).isLessThan(MOST_BYTES);
    }

    /** Guards against an interim answer that is taken for the answer. */
    @Test
    void anInterimAnswerIsNotTheAnswer() throws Exception {
        CompletableFuture<CallResult> result = call(TIMEOUT_MILLIS);

        answer("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + framed("length"), false);

        CallResult.Answered answered = (CallResult.Answered) result.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        assertThat(answered.status()).isEqualTo(200);
        assertThat(answered.body()).isEqualTo(BODY.getBytes(StandardCharsets.UTF_8));
    }

    /** Guards against half an answer of the store that counts as a whole one, also after a reset. */
    @ParameterizedTest
    @MethodSource("org.rattanrudder.wire.http.AnswerFramings#withEnds")
    void anAnswerIsWholeOnlyIfItsEndSaysSo(String framing, boolean reset) throws Exception {
        String whole = framed(framing);
        int from = framing.equals("connection") ? "\r\n".length() : whole.indexOf("\r\n\r\n");
        for (int cut = from; cut <= whole.length(); cut++) {
            CompletableFuture<CallResult> result = call();
            answer("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + whole.substring(0, cut), reset);

            boolean complete = framing.equals("connection") ? !reset : cut == whole.length();
            assertThat(result.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS))
                    .as("cut at %d of %d", cut, whole.length())
                    .isInstanceOf(complete ? CallResult.Answered.class : CallResult.Unanswered.class);
        }
    }

    /** Guards against a head that stops in the middle and is taken for a whole one with an empty body. */
    @ParameterizedTest
    @MethodSource("org.rattanrudder.wire.http.AnswerFramings#withEnds")
    void aHeadThatStopsAtAnyByteIsNoAnswer(String framing, boolean reset) throws Exception {
        String whole = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + framed(framing);
        int headEnds = whole.indexOf("\r\n\r\n") + 4;
        for (int cut = 0; cut < headEnds; cut++) {
            CompletableFuture<CallResult> result = call();
            answer(whole.substring(0, cut), reset);

            assertThat(result.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS))
                    .as("cut at %d of %d", cut, headEnds)
                    .isInstanceOf(CallResult.Unanswered.class);
        }
    }

    /** Guards against a part of an answer that counts as whole as its end came in order, before a reset. */
    @ParameterizedTest
    @CsvSource({"8000000, 0, false", "8000000, 30, false", "100, 0, false", "100, 30, false", "0, 0, true"})
    void anAnswerThatEndsWithItsConnectionIsWholeOnlyIfItsRequestWasRead(int bodyBytes, long pauseMillis, boolean whole)
            throws Exception {
        PlatformCall sent =
                new PlatformCall(HttpMethod.POST, "/append", EmptyHttpHeaders.INSTANCE, new byte[bodyBytes]);
        CompletableFuture<CallResult> result = call(sent, TIMEOUT_MILLIS);

        EarlyAnswers.answer(listening, head -> "HTTP/1.1 200 OK\r\n\r\n" + BODY, pauseMillis);

        assertThat(result.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS) instanceof CallResult.Answered)
                .isEqualTo(whole);
    }
}
