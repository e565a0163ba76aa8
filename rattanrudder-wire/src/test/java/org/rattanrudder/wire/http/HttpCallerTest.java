package org.rattanrudder.wire.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanrudder.core.call.Header;
import org.rattanrudder.core.gateway.ResponseEnd;
import org.rattanrudder.core.model.Address;

class HttpCallerTest {
    private static final int SECONDS = 10;
    // Undertow takes two million bytes unless told otherwise.
    private static final long LARGEST_BODY = 16L << 20;

    private final HttpCaller caller = HttpCaller.create(1);
    private final List<Undertow> servers = new ArrayList<>();

    @AfterEach
    void close() {
        servers.forEach(Undertow::stop);
        caller.close();
    }

    private Address serve(HttpHandler handler) {
        Undertow server = Undertow.builder()
                .addHttpListener(0, "127.0.0.1")
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, LARGEST_BODY)
                .setIoThreads(1)
                .setWorkerThreads(2)
                .setHandler(handler)
                .build();
        server.start();
        servers.add(server);
        InetSocketAddress bound =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        return new Address("127.0.0.1", bound.getPort());
    }

    private HttpResult fetch(Address address, HttpRequest request) throws Exception {
        return caller.fetch(address, request).get(SECONDS, TimeUnit.SECONDS);
    }

    private static void echo(HttpServerExchange exchange) {
        exchange.getRequestReceiver().receiveFullBytes((received, body) -> {
            received.setStatusCode(201);
            received.getResponseSender().send(ByteBuffer.wrap(body));
        });
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 100_000, 3_000_000})
    void bodyGoesThereAndBackWhole(int length) throws Exception {
        byte[] body = "x".repeat(length).getBytes(StandardCharsets.UTF_8);

        HttpResult result = fetch(serve(HttpCallerTest::echo), HttpRequest.json("POST", "/", body));

        assertThat(result).isInstanceOfSatisfying(HttpResult.Answered.class, answered -> {
            assertThat(answered.status()).isEqualTo(201);
            assertThat(answered.body()).isEqualTo(body);
        });
    }

    @Test
    void readsShareOneConnectionAndWritesDoNot() throws Exception {
        Set<Object> connections = Collections.newSetFromMap(new ConcurrentHashMap<>());
        Address address = serve(exchange -> {
            connections.add(exchange.getConnection());
            exchange.endExchange();
        });
        for (int index = 0; index < 5; index++) {
            fetch(address, HttpRequest.get("/"));
        }
        assertThat(connections).hasSize(1);

        fetch(address, HttpRequest.of("POST", "/"));
        fetch(address, HttpRequest.of("POST", "/"));
        assertThat(connections).hasSize(3);
    }

    @Test
    void headHasHeadersAndNoBody() throws Exception {
        Address address = serve(exchange -> {
            exchange.getResponseHeaders().put(new io.undertow.util.HttpString("Generation"), "7");
            exchange.getResponseSender().send("body that HEAD leaves out");
        });

        HttpResult result = fetch(address, HttpRequest.of("HEAD", "/"));

        assertThat(result)
                .isInstanceOfSatisfying(
                        HttpResult.Answered.class,
                        answered -> assertThat(answered.header("generation")).contains("7"));
    }

    /**
     * A caller gets "not run" though its entry was added, or "unknown" though nothing left the process.
     * The connection is refused in one case; in the other the target takes the request and closes without an answer.
     * Cause: a call that can't tell a connection that never was from one that broke.
     */
    @Test
    void failureSaysWhetherAnythingWasSent() throws Exception {
        Address closed;
        try (ServerSocket socket = new ServerSocket(0)) {
            closed = new Address("127.0.0.1", socket.getLocalPort());
        }
        Address breaking = serve(exchange -> exchange.getConnection().close());

        HttpResult refused = fetch(closed, HttpRequest.of("POST", "/"));
        HttpResult broken = fetch(breaking, HttpRequest.of("POST", "/"));

        assertThat(refused)
                .isInstanceOfSatisfying(
                        HttpResult.Failed.class,
                        failed -> assertThat(failed.nothingSent()).isTrue());
        assertThat(broken)
                .isInstanceOfSatisfying(
                        HttpResult.Failed.class,
                        failed -> assertThat(failed.nothingSent()).isFalse());
    }

    /** Guards against calls that nobody waits for, and that keep a place at their target until it answers. */
    @Test
    void aCallWhoseResultIsCancelledClosesItsConnection() throws Exception {
        try (ServerSocket silent = new ServerSocket(0)) {
            Address address = new Address("127.0.0.1", silent.getLocalPort());
            CompletableFuture<HttpResult> result = caller.fetch(address, HttpRequest.get("/"));
            try (Socket accepted = silent.accept()) {
                accepted.setSoTimeout(SECONDS * 1_000);
                assertThat(accepted.getInputStream().read()).isEqualTo('G');
                result.cancel(false);
                assertThat(accepted.getInputStream().readAllBytes()).isNotEmpty();
            }
        }
    }

    /** Guards against a call that is given up after its end, and closes the connection of the next one. */
    @Test
    void cancellingACallThatHasEndedClosesNoConnection() throws Exception {
        Set<Integer> ports = ConcurrentHashMap.newKeySet();
        Address address = serve(exchange -> {
            ports.add(exchange.getSourceAddress().getPort());
            exchange.endExchange();
        });
        for (int call = 0; call < 10; call++) {
            BlockingQueue<Integer> parts = new LinkedBlockingQueue<>();
            HttpCall ended = caller.call(address, HttpRequest.get("/"), new Pausing(parts));
            assertThat(parts.poll(SECONDS, TimeUnit.SECONDS)).isEqualTo(Pausing.END);
            ended.cancel();
        }
        assertThat(ports).hasSize(1);
    }

    /**
     * A poller hangs for good: its target accepts connections and says nothing.
     * Cause: no bound on the time until the answer's head.
     */
    @Test
    void silentPeerFailsTheCallInTime() throws Exception {
        try (ServerSocket silent = new ServerSocket(0)) {
            Address address = new Address("127.0.0.1", silent.getLocalPort());

            HttpResult result = fetch(address, HttpRequest.get("/").within(new HttpTimeouts(1_000, 100, 100)));

            assertThat(result).isEqualTo(new HttpResult.Failed(false, "no answer in 100 ms"));
        }
    }

    /**
     * A caller takes half an answer for the whole.
     * The target dies after a part of the body; the connection's end looks like the answer's end.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nhalf",
                "HTTP/1.1 200 OK\r\nContent-Le"
            })
    void cutAnswerFails(String sent) throws Exception {
        try (ServerSocket listening = new ServerSocket(0)) {
            Address address = new Address("127.0.0.1", listening.getLocalPort());
            CompletableFuture<HttpResult> result = caller.fetch(address, HttpRequest.get("/"));
            try (Socket socket = listening.accept()) {
                socket.getInputStream().read();
                socket.getOutputStream().write(sent.getBytes(StandardCharsets.US_ASCII));
            }

            assertThat(result.get(SECONDS, TimeUnit.SECONDS)).isInstanceOf(HttpResult.Failed.class);
        }
    }

    @Test
    void answerOverTheLimitFails() throws Exception {
        Address address = serve(exchange -> exchange.getResponseSender().send("x".repeat(1000)));

        HttpResult result = caller.fetch(address, HttpRequest.get("/"), 999).get(SECONDS, TimeUnit.SECONDS);

        assertThat(result).isInstanceOf(HttpResult.Failed.class);
    }

    /**
     * The process runs out of memory while a caller reads slowly.
     * The target sends much more than the caller takes; the answer is read regardless.
     * Cause: reading that isn't paused when a part is answered with false.
     */
    @Test
    void pausedAnswerIsReadOnlyAfterReadOn() throws Exception {
        int length = 8 << 20;
        Address address = serve(exchange -> exchange.getResponseSender().send("x".repeat(length)));
        BlockingQueue<Integer> parts = new LinkedBlockingQueue<>();
        HttpCall call = caller.call(address, HttpRequest.of("GET", "/"), new Pausing(parts));

        int received = 0;
        while (received < length) {
            Integer part = parts.poll(SECONDS, TimeUnit.SECONDS);
            assertThat(part).as("after %s bytes", received).isNotNull().isPositive();
            assertThat(parts).isEmpty();
            received += part;
            call.readOn();
        }
        assertThat(parts.poll(SECONDS, TimeUnit.SECONDS)).isEqualTo(Pausing.END);
    }

    private record Pausing(BlockingQueue<Integer> parts) implements HttpAnswer {
        static final int END = -1;
        static final int FAILED = -2;

        @Override
        public void head(int status, List<Header> headers) {
            assertThat(status).isEqualTo(200);
        }

        @Override
        public boolean part(byte[] bytes) {
            parts.add(bytes.length);
            return false;
        }

        @Override
        public void end(ResponseEnd end) {
            parts.add(END);
        }

        @Override
        public void failed(boolean nothingSent, String detail) {

            parts.add(FAILED);
        }
    }
}
