package org.rattanrudder.daemon.relay.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.bootstrap.Bootstrap;
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
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.memory.ByteBudget;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.time.Moment;
import org.rattanrudder.core.topics.RepeatPolicy;
import org.rattanrudder.daemon.relay.net.RepeatingCallClient.Outcome;
import org.rattanrudder.daemon.relay.port.PlatformCall;

class RepeatingCallClientTest {
    private static final int TIMEOUT_MILLIS = 5_000;

    private static final long HOUR_MILLIS = 3_600_000;

    private static final long ANSWER_MILLIS = 200;

    private static final String SILENT = "0";
    private static final PlatformCall CALL =
            new PlatformCall(HttpMethod.GET, "/log-read", EmptyHttpHeaders.INSTANCE, new byte[0]);

    private final CallsInFlight calls = new CallsInFlight();
    private long now;
    private final List<Socket> accepted = new CopyOnWriteArrayList<>();
    private MultiThreadIoEventLoopGroup group;
    private ServerSocket listening;

    @BeforeEach
    void listen() throws IOException {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void close() throws IOException {
        listening.close();
        for (Socket socket : accepted) {
            socket.close();
        }
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    /**
     * Guards against a refused repeat that hides the answer of another, and against a repeat on the connection that has
     * brought the refusal. Zero stands for a silent connection.
     */
    @ParameterizedTest
    @CsvSource({
        "200, 200",
        "0 200, 200",
        "0 0 200, 200",
        "0 0 0 200, 200",
        "0 503 200, 200",
        "0 429 0 410, 410",
        "503, 503"
    })
    void theFirstUsableAnswerCounts(String connections, int status) throws Exception {
        String[] statuses = connections.split(" ");
        EventLoop loop = group.next();
        RepeatingCallClient client = client(loop);
        CompletableFuture<Outcome> called = new CompletableFuture<>();
        loop.execute(() -> client.call(CALL, HOUR_MILLIS, called::complete));
        for (int index = 0; index < statuses.length; index++) {
            if (index > 0) {
                loop.execute(client::repeatNow);
            }
            serve(statuses[index], index == statuses.length - 1);
        }

        Outcome outcome = called.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);

        assertThat(((CallResult.Answered) outcome.result()).status()).isEqualTo(status);
        assertThat(outcome.calls()).isEqualTo(statuses.length);
        assertThat(outcome.repeated()).isEqualTo(statuses.length > 1);
        loop.submit(client::close).get();
    }

    /** Guards against a repeat that is closed before its answer comes, so that only the last one is answered. */
    @Test
    void theFirstRepeatIsAnsweredByAStoreThatTakesLongerThanTheTimeBetweenRepeats() throws Exception {
        EventLoop loop = group.next();
        RepeatingCallClient client = client(loop, () -> actualTime(0));
        CompletableFuture<Outcome> called = new CompletableFuture<>();
        long began = System.nanoTime();
        loop.execute(() -> client.call(CALL, HOUR_MILLIS, called::complete));
        serve(SILENT, true);
        CompletableFuture<Void> answering = CompletableFuture.runAsync(() -> answerAllLater(loop, called));

        Outcome outcome = called.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);

        long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began);
        long secondRepeatMillis = RepeatPolicy.repeatAfterMillis(2).orElseThrow();
        assertThat(outcome.askedAt().atLeastMillis() - outcome.beganAt().atLeastMillis())
                .isLessThan(secondRepeatMillis);
        assertThat(tookMillis).isLessThan(secondRepeatMillis + ANSWER_MILLIS);
        assertThat(outcome.calls()).isLessThanOrEqualTo(RepeatPolicy.MAX_IN_FLIGHT);
        loop.submit(client::close).get();
        listening.close();
        answering.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Guards against a repeat that fails at once, since the process was suspended for longer than the timeout. */
    @Test
    void aRepeatGetsTimeForAnAnswerThoughTheTimeoutHasPassed() throws Exception {
        EventLoop loop = group.next();
        AtomicLong suspendedMillis = new AtomicLong();
        RepeatingCallClient client = client(loop, () -> actualTime(suspendedMillis.get()));
        CompletableFuture<Outcome> called = new CompletableFuture<>();
        loop.execute(() -> client.call(CALL, TIMEOUT_MILLIS, called::complete));
        serve(SILENT, true);
        suspendedMillis.set(HOUR_MILLIS);
        CompletableFuture<Void> answering = CompletableFuture.runAsync(() -> answerAllLater(loop, called));

        CallResult result =
                called.get(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).result();

        assertThat(result).isInstanceOf(CallResult.Answered.class);
        loop.submit(client::close).get();
        listening.close();
        answering.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Guards against a store that gets ever more calls at once, since it answers none. */
    @Test
    void fewAttemptsAtATimeAwaitAnAnswer() throws Exception {
        EventLoop loop = group.next();
        RepeatingCallClient client = client(loop);
        loop.execute(() -> client.call(CALL, HOUR_MILLIS, ignored -> {}));
        serve(SILENT, true);
        for (int made = 2; made <= RepeatPolicy.MAX_CALLS; made++) {
            loop.execute(client::repeatNow);
            serve(SILENT, true);

            assertThat(loop.submit(calls::count).get()).isEqualTo(Math.min(made, RepeatPolicy.MAX_IN_FLIGHT));
        }
        int ended = RepeatPolicy.MAX_CALLS - RepeatPolicy.MAX_IN_FLIGHT;
        for (Socket replaced : accepted.subList(1, 1 + ended)) {
            assertThat(replaced.getInputStream().read()).isNegative();
        }
        loop.submit(client::close).get();
        assertThat(calls.count()).isZero();
    }

    private void answerAllLater(EventLoop loop, CompletableFuture<Outcome> called) {
        try {
            while (!called.isDone()) {
                Socket socket = listening.accept();
                accepted.add(socket);
                loop.schedule(() -> answer(socket), ANSWER_MILLIS, TimeUnit.MILLISECONDS);
            }
        } catch (IOException closed) {
            // The test has ended.
        }
    }

    private static void answer(Socket socket) {
        try {
            respond(socket, "200");
        } catch (IOException closed) {
            // The call was answered on another connection.
        }
    }

    private RepeatingCallClient client(EventLoop loop) {
        return client(loop, this::now);
    }

    private RepeatingCallClient client(EventLoop loop, Supplier<Moment> clock) {
        Bootstrap connector = RelayChannels.connector(group);
        ByteBudget budget = new ByteBudget(64 << 20);
        Address address = new Address("127.0.0.1", listening.getLocalPort());
        return new RepeatingCallClient(
                loop,
                clock,
                RepeatPolicy.MAX_CALLS,
                () -> HttpCallClient.forLists(connector, budget, () -> address, calls));
    }

    private void serve(String status, boolean last) throws IOException {
        Socket socket = listening.accept();
        accepted.add(socket);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        byte[] request = new byte[1_024];
        int read = socket.getInputStream().read(request);
        assertThat(read).isPositive();
        if (SILENT.equals(status)) {
            return;
        }
        respond(socket, status);
        if (!last) {
            assertThat(socket.getInputStream().read())
                    .as("end of a refused connection")
                    .isNegative();
        }
    }

    private static void respond(Socket socket, String status) throws IOException {
        socket.getOutputStream()
                .write(("HTTP/1.1 " + status + " x\r\nContent-Length: 0\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
    }

    private static Moment actualTime(long suspendedMillis) {
        long millis = suspendedMillis + TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        return new Moment(millis, millis);
    }

    /** Returns ever earlier times: calls are repeated by the test, not by their timer. */
    private Moment now() {
        now -= HOUR_MILLIS;
        return new Moment(now, now);
    }
}
