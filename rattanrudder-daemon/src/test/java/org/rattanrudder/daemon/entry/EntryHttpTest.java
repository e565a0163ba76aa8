package org.rattanrudder.daemon.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanrudder.core.call.Header;
import org.rattanrudder.core.entry.CallerRequest;
import org.rattanrudder.core.entry.EntryEvent;
import org.rattanrudder.core.memory.ByteBudget;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.Refusal;
import org.rattanrudder.daemon.http.BodyReader;
import org.rattanrudder.daemon.http.HealthHandler;
import org.rattanrudder.daemon.http.HttpServer;
import org.rattanrudder.daemon.http.MetricsHandler;
import org.rattanrudder.daemon.http.OpenExchanges;
import org.rattanrudder.daemon.logging.EventLog;
import org.rattanrudder.daemon.loop.DrainLatch;
import org.rattanrudder.daemon.loop.MonotonicClock;
import org.rattanrudder.daemon.loop.ProcessThreads;
import org.rattanrudder.document.Credential;
import org.rattanrudder.document.ProcessSettings.ProcessLimits;

/** The entry's HTTP server as it is, with the test in the place of the machine. */
class EntryHttpTest {
    private static final int SECONDS = 10;
    private static final ProcessLimits LIMITS = new ProcessLimits(10_000, 2_000, 200, 100);

    /** Room for one body of 9,000 bytes, and not for two. */
    private static final long BUDGET_BYTES = 34_000;

    private static final String CHAT = "{\"model\":\"m\",\"stream\":%s,\"messages\":[{\"role\":\"u\"}]}";
    private static final List<Header> EVENT_STREAM = List.of(new Header("Content-Type", "text/event-stream"));

    private final BlockingQueue<EntryEvent> events = new LinkedBlockingQueue<>();
    private final Callers callers = new Callers(events::add);
    private final KnownCredentials credentials = new KnownCredentials();
    private final OpenExchanges exchanges = new OpenExchanges();
    private BodyReader bodies;
    private ProcessThreads threads;
    private HttpServer server;
    private Socket socket;
    private BufferedReader answer;

    @BeforeEach
    void start() throws IOException {
        start(LIMITS);
    }

    private void start(ProcessLimits limits) throws IOException {
        threads = ProcessThreads.start(1);
        EventLog log = new EventLog(Logger.getLogger(EntryHttpTest.class), new MonotonicClock());
        PieceSizes sizes = new PieceSizes();
        bodies = new BodyReader(limits, new ByteBudget(BUDGET_BYTES), (exchange, refusal) -> {});
        EntryHttp http = new EntryHttp(
                exchanges.counting(new CallerHandler(31, callers, sizes, credentials, bodies, events::add, log)),
                new OperatorHandler(Credential.digest("operator"), sizes, bodies, events::add, () -> null),
                new HealthHandler(),
                new MetricsHandler(new PrometheusRegistry()),
                log);
        server = new HttpServer(threads.worker(), new InetSocketAddress("127.0.0.1", 0), limits, http);
        connect();
    }

    @AfterEach
    void stop() throws IOException {
        socket.close();
        server.close();
        threads.close();
    }

    private void connect() throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), server.address().port());
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(SECONDS));
        answer = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
    }

    private void send(String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private static String post(String path, String body, String... headers) {
        String more = List.of(headers).stream().map(line -> line + "\r\n").collect(Collectors.joining());
        return "POST " + path + " HTTP/1.1\r\nHost: x\r\n" + more + "Content-Length: " + body.length() + "\r\n\r\n"
                + body;
    }

    /** Reads to the end of the connection, which is an answer's end where it is broken off or says so. */
    private String readAll() {
        return answer.lines().collect(Collectors.joining("\n"));
    }

    private String readUntil(String mark) throws IOException {
        StringBuilder read = new StringBuilder();
        while (read.indexOf(mark) < 0) {
            int next = answer.read();
            assertThat(next).as("read so far: %s", read).isNotNegative();
            read.append((char) next);
        }
        return read.toString();
    }

    private <T extends EntryEvent> T next(Class<T> type) throws InterruptedException {
        EntryEvent event = events.poll(SECONDS, TimeUnit.SECONDS);
        assertThat(event).isInstanceOf(type);
        return type.cast(event);
    }

    /** Guards against a request that is still sent at the end of the grace, and gets no answer. */
    @Test
    void aBodyThatIsStillReadIsRefusedAtTheEndOfTheGrace() throws Exception {
        stop();
        start(new ProcessLimits(10_000, 2_000, TimeUnit.SECONDS.toMillis(SECONDS), 100));
        send("POST /services/s/ HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf");
        assertThat(DrainLatch.awaitEnd(TimeUnit.SECONDS.toMillis(SECONDS), () -> !exchanges.hasOpen()))
                .isTrue();

        bodies.refusePending(new Refusal(ErrorKind.DRAINING, 0, "ends"));

        assertThat(readAll()).startsWith("HTTP/1.1 503").contains("draining");
    }

    /** Guards against a process that ends while its last answer is sent, or read by its caller. */
    @Test
    void whileDrainingAnAnswerCountsUntilItsCallerHasClosed() throws Exception {
        send(post("/services/s/", "x"));
        EntryEvent.RequestArrived arrived = next(EntryEvent.RequestArrived.class);
        assertThat(exchanges.hasOpen()).isTrue();
        exchanges.startDraining();
        CallerExchange caller = callers.find(arrived.sequence()).orElseThrow();
        caller.begin(200, List.of());
        caller.send(new byte[] {'y'});
        caller.end();

        assertThat(readAll()).contains("Connection: close").endsWith("0\n");
        assertThat(exchanges.hasUnclosed()).isTrue();
        socket.close();
        assertThat(DrainLatch.awaitEnd(
                        TimeUnit.SECONDS.toMillis(SECONDS), () -> exchanges.hasUnclosed() || exchanges.hasOpen()))
                .isTrue();
    }

    /** A stranger sends what is no JSON. It must be told that it isn't known, and nothing about what it sent. */
    @ParameterizedTest
    @ValueSource(strings = {"", "Authorization: Bearer wrong", "Authorization: Basic secret"})
    void aStrangersBodyIsNotLookedAt(String authorization) throws Exception {
        credentials.set(Set.of(Credential.digest("secret")));
        String[] headers = authorization.isEmpty() ? new String[0] : new String[] {authorization};

        send(post("/v1/chat/completions", "{no json", headers));

        assertThat(readUntil("\r\n")).startsWith("HTTP/1.1 401");
        assertThat(events).isEmpty();
    }

    @Test
    void aCustomersBodyIsLookedAt() throws Exception {
        credentials.set(Set.of(Credential.digest("secret")));

        send(post("/v1/chat/completions", "{no json", "Authorization: Bearer secret"));

        assertThat(readUntil("\r\n")).startsWith("HTTP/1.1 400");
    }

    private CallerExchange chat(boolean stream) throws Exception {
        send(post("/v1/chat/completions", CHAT.formatted(stream)));
        return callers.find(next(EntryEvent.RequestArrived.class).sequence()).orElseThrow();
    }

    @Test
    void requestArrivesWithCredentialClassAndKeyButWithoutTheSecret() throws Exception {
        String[] headers = {
            "Authorization: Bearer secret", "Rattanrudder-Class: check", "Idempotency-Key: k1", "X-Own: 1"
        };
        send(post("/services/fuel-ledger/entries?a=b%20c", "body", headers));

        CallerRequest request = next(EntryEvent.RequestArrived.class).request();

        assertThat(request.service()).isEqualTo("fuel-ledger");
        assertThat(request.credential()).contains(Credential.digest("secret"));
        assertThat(request.requestClass()).contains("check");
        assertThat(request.idempotencyKey()).contains("k1");
        assertThat(request.call().path()).isEqualTo("/entries?a=b%20c");
        assertThat(request.call().headers()).contains(new Header("X-Own", "1"));
        assertThat(request.call().headers().toString()).doesNotContain("secret");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "/nothing                  | 2     | 10    | 404 | unknown_path",
                "/v1/chat/completions      | 2     | 10    | 400 | malformed_request",
                "/services/ledger/entries  | 20000 | 10    | 413 | body_too_large",
                "/services/ledger/entries  | 2     | 3000  | 431 | headers_too_large",
                "/operator/status          | 2     | 10    | 401 | unauthenticated"
            })
    void whatIsNotTakenGetsAClearAnswer(String path, int body, int header, int status, String kind) throws Exception {
        send(post(path, "x".repeat(body), "Connection: close", "X-Filler: " + "f".repeat(header)));

        String read = readAll();

        assertThat(read)
                .startsWith("HTTP/1.1 " + status)
                .contains("\"kind\":\"" + kind + "\"", "\"run_state\":\"not_run\"");
        assertThat(events).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "two words", "\u00e9"})
    void keyOfAnotherFormIsRefused(String key) throws Exception {
        send(post("/services/ledger/entries", "x", "Connection: close", "Idempotency-Key: " + key));

        assertThat(readAll()).startsWith("HTTP/1.1 400").contains("Idempotency-Key is not");
    }

    /**
     * An entry runs out of connections though it does nothing.
     * A caller sends half a body and stops. Cause: no bound on the time that a body takes.
     */
    @Test
    void bodyThatDoesNotComeIsRefusedInTime() throws Exception {
        send("POST /services/ledger/entries HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf");

        assertThat(readAll()).startsWith("HTTP/1.1 408").contains("\"kind\":\"request_timeout\"");
    }

    /**
     * An entry runs out of memory, and all of its callers are cut off.
     * Several callers send bodies that are each within the limit. Cause: no bound on all bodies together.
     */
    @Test
    void bodiesBeyondTheBudgetAreRefusedUntilOthersHaveEnded() throws Exception {
        String large = post("/services/ledger/entries", "x".repeat(9_000));
        send(large);
        long first = next(EntryEvent.RequestArrived.class).sequence();
        Socket holder = socket;
        connect();
        send(large);
        assertThat(readAll()).startsWith("HTTP/1.1 503").contains("\"kind\":\"overloaded\"", "Retry-After: 1");

        holder.close();
        assertThat(next(EntryEvent.CallerDisconnected.class).sequence()).isEqualTo(first);
        connect();
        send(large);

        next(EntryEvent.RequestArrived.class);
    }

    @Test
    void streamedAnswerEndsWithItsMarkAndTheConnectionServesOn() throws Exception {
        for (int round = 0; round < 2; round++) {
            CallerExchange caller = chat(true);
            caller.begin(200, EVENT_STREAM);
            caller.send("data: {\"n\":1}\n\n".getBytes(StandardCharsets.UTF_8));
            assertThat(next(EntryEvent.ChunksWritten.class).chunks()).isEqualTo(1);
            caller.end();
            assertThat(readUntil("\r\n0\r\n\r\n")).contains("data: {\"n\":1}\n\n", "data: [DONE]\n\n");
            next(EntryEvent.ChunksWritten.class);
        }
        awaitNoCallers();
    }

    /** A caller may have the last bytes of its answer just before the exchange ends. */
    private void awaitNoCallers() {
        assertTimeoutPreemptively(Duration.ofSeconds(SECONDS), () -> {
            while (callers.count() > 0) {
                Thread.onSpinWait();
            }
        });
    }

    @Test
    void wholeAnswerIsPutTogether() throws Exception {
        CallerExchange caller = chat(false);
        caller.begin(200, EVENT_STREAM);
        caller.send(
                "data: {\"id\":\"c\",\"choices\":[{\"index\":0,\"delta\":{\"role\":\"assistant\",\"content\":\"a\"}}]}"
                        .getBytes(StandardCharsets.UTF_8));
        caller.send("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"b\"},\"finish_reason\":\"stop\"}]}"
                .getBytes(StandardCharsets.UTF_8));
        caller.end();

        assertThat(readUntil("]}"))
                .contains("Content-Type: application/json")
                .contains("\"message\":{\"role\":\"assistant\",\"content\":\"ab\"},\"finish_reason\":\"stop\"");
    }

    @Test
    void refusalCarriesWhenToComeBack() throws Exception {
        chat(true).refuse(new Refusal(ErrorKind.NO_TARGET, 1_200, "none accepts"));

        assertThat(readUntil("}}"))
                .startsWith("HTTP/1.1 503")
                .contains("Retry-After: 2", "\"retry_after_millis\":1200", "Rattanrudder-Request: 1f-1");
    }

    /**
     * A caller takes a part of an answer for the whole.
     * The target fails after the answer began. Cause: the answer is ended as if it were whole.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void answerThatFailsAfterItBeganIsBrokenOff(boolean streamed) throws Exception {
        CallerExchange caller = chat(streamed);
        caller.begin(200, streamed ? EVENT_STREAM : List.of());
        caller.send("data: {}\n\n".getBytes(StandardCharsets.UTF_8));
        caller.refuse(new Refusal(ErrorKind.TARGET_FAILED, 0, "gone"));

        String read = readAll();

        assertThat(read).contains("data: {}").doesNotContain("[DONE]");
        assertThat(read.endsWith("0\n")).isFalse();
        assertThat(read.contains("event: error")).isEqualTo(streamed);
    }

    /** Guards against half an answer that looks whole to a caller without chunks: only a reset says that it isn't. */
    @Test
    void aCallerWithoutChunksIsToldOfABrokenAnswerByAReset() throws Exception {
        send(post("/services/fuel-ledger/entries", "body").replace("HTTP/1.1", "HTTP/1.0"));
        CallerExchange caller =
                callers.find(next(EntryEvent.RequestArrived.class).sequence()).orElseThrow();
        caller.begin(200, List.of());
        caller.send("half of ".getBytes(StandardCharsets.UTF_8));
        next(EntryEvent.ChunksWritten.class);
        assertThat(readUntil("half of ")).doesNotContain("chunked");

        caller.refuse(new Refusal(ErrorKind.TARGET_FAILED, 0, "gone"));

        assertThatThrownBy(answer::read).isInstanceOf(SocketException.class);
    }

    /**
     * A bus waits while the engine computes answers for terminals that hung up.
     * The caller closes its connection while its prompt waits. Cause: the end of a connection that nobody reads or
     * writes isn't seen.
     */
    @Test
    void callerThatGoesAwayWhileItWaitsIsNoticed() throws Exception {
        chat(true);

        socket.close();

        assertThat(next(EntryEvent.CallerDisconnected.class).sequence()).isEqualTo(1);
        connect();
    }

    /**
     * An entry's memory grows with each slow caller until it dies.
     * The caller reads nothing while its answer comes. Cause: chunks counted as taken before the socket had them.
     */
    @Test
    void slowCallerTakesNoMoreThanItsSocketHolds() throws Exception {
        int chunk = 100_000; // bytes
        int count = 400;
        CallerExchange caller = chat(true);
        caller.begin(200, List.of());
        for (int sent = 0; sent < count; sent++) {
            caller.send(new byte[chunk]);
        }
        caller.end();
        int taken = next(EntryEvent.ChunksWritten.class).chunks();
        Optional<EntryEvent> more = Optional.ofNullable(events.poll(300, TimeUnit.MILLISECONDS));
        while (more.isPresent()) {
            taken += ((EntryEvent.ChunksWritten) more.get()).chunks();
            more = Optional.ofNullable(events.poll(300, TimeUnit.MILLISECONDS));
        }
        assertThat(taken).isLessThan(count / 2);

        assertThat(socket.getInputStream().skip((long) count * chunk)).isEqualTo((long) count * chunk);
        while (taken < count) {
            taken += next(EntryEvent.ChunksWritten.class).chunks();
        }
        assertThat(taken).isEqualTo(count);
    }
}
