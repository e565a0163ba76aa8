package org.rattanrudder.daemon.relay.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.daemon.TestServer;
import org.rattanrudder.daemon.relay.net.CallResult;
import org.rattanrudder.daemon.relay.port.PlatformCall;
import org.rattanrudder.daemon.relay.port.StoreDialect;
import org.rattanrudder.daemon.relay.port.StoreDialect.Topic;
import org.rattanrudder.daemon.relay.port.StoreRead;
import org.rattanrudder.daemon.relay.process.RelayState;

/** Reads of a relay that the store refuses, with peers that read for it or don't. */
class StoreReaderTest {
    private static final int TIMEOUT_SECONDS = 10;
    private static final long READ_MILLIS = 1_500;
    private static final StoreRead READ = new StoreRead.From(Topic.DESIRED_STATE, 0);
    private static final String RECORDS = "records";
    private static final String STORE_ERA = "Era";
    private static final String PEER_ERA = "Log-Era";

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final List<AutoCloseable> closed = new ArrayList<>();
    private final AtomicInteger storeCalls = new AtomicInteger();
    private final AtomicInteger peerCalls = new AtomicInteger();
    private final List<Address> peers = new ArrayList<>();
    private RelayState state;

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable each : closed) {
            each.close();
        }
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    /** Guards against readers that pass the same peers over together, and never ask the one that can read. */
    @ParameterizedTest
    @ValueSource(ints = {2, 3, 4})
    void readersAtOnceAllFindThePeerThatCanRead(int readers) throws Exception {
        IntStream.rangeClosed(2, readers).forEach(refusing -> peers.add(refusingPeer()));
        peers.add(readingPeer());
        startRelay();
        List<StoreReader> all =
                IntStream.range(0, readers).mapToObj(index -> newReader()).toList();

        List<CompletableFuture<StoreReader.Answer>> reads = loop.submit(
                        () -> all.stream().map(StoreReaderTest::read).toList())
                .get();

        for (CompletableFuture<StoreReader.Answer> read : reads) {
            assertThat(body(read)).isEqualTo(RECORDS);
        }
    }

    /** Guards against peers of an earlier release, which don't listen, that keep the others from being asked. */
    @Test
    void peersThatListenNotAreFollowedByOthers() throws Exception {
        for (int closedPorts = 0; closedPorts < 3; closedPorts++) {
            peers.add(closedPort());
        }
        peers.add(readingPeer());
        startRelay();

        assertThat(body(readOnLoop(newReader()))).isEqualTo(RECORDS);
    }

    /** Guards against a read that waits for the timeout of a peer that is frozen, and a next one that does so again. */
    @Test
    void aSilentPeerIsOvertakenByAnotherAndAskedLastAfterThat() throws Exception {
        AtomicInteger silentCalls = new AtomicInteger();
        peers.add(silentServer(silentCalls));
        peers.add(readingPeer());
        startRelay();
        StoreReader reader = newReader();

        assertThat(body(readOnLoop(reader))).isEqualTo(RECORDS);
        assertThat(body(readOnLoop(reader))).isEqualTo(RECORDS);

        assertThat(silentCalls).hasValue(1);
        assertThat(storeCalls).hasValue(1);
    }

    /** Guards against a total outage in which relays ask each other again and again. */
    @Test
    void duringATotalOutageFewPeersAreAskedAndThenNone() throws Exception {
        for (int refusing = 0; refusing < 8; refusing++) {
            peers.add(refusingPeer());
        }
        startRelay();
        StoreReader reader = newReader();

        assertThat(body(readOnLoop(reader))).isEmpty();
        assertThat(peerCalls).hasValue(4);
        assertThat(body(readOnLoop(reader))).isEmpty();

        assertThat(peerCalls).hasValue(4);
        assertThat(storeCalls).hasValue(2);
    }

    /** Guards against a read, or a confirmation, that ends long after its time since each peer gets that anew. */
    @Test
    void aReadEndsInTimeThoughSeveralPeersAreLate() throws Exception {
        for (int late = 0; late < 4; late++) {
            peers.add(serverAt(exchange -> exchange.dispatch(() -> exchange.getIoThread()
                    .executeAfter(() -> exchange.setStatusCode(503).endExchange(), 900, TimeUnit.MILLISECONDS))));
        }
        startRelay();
        StoreReader reader = newReader();
        CompletableFuture<StoreReader.Answer> outcome = new CompletableFuture<>();
        long began = System.nanoTime();

        loop.execute(() -> reader.read(READ, READ_MILLIS, READ_MILLIS, outcome::complete));

        assertThat(body(outcome)).isEmpty();
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began)).isLessThan(READ_MILLIS + 1_000);
    }

    /** Guards against a confirmation with little time left that turns all reads of a relay to its peers. */
    @Test
    void aReadWithTooLittleTimeForAnAnswerShowsNoRefusal() throws Exception {
        peers.add(readingPeer());
        startRelay(HttpServerExchange::dispatch);
        StoreReader reader = newReader();
        CompletableFuture<StoreReader.Answer> outcome = new CompletableFuture<>();

        loop.execute(() -> reader.read(READ, 100, 100, outcome::complete));

        assertThat(body(outcome)).isEqualTo("timeout");
        assertThat(state.storeRoute().isRefused()).isFalse();
        assertThat(peerCalls).hasValue(0);
    }

    /** Guards against a slow link that makes peers read the same long answer, which shares the link once more. */
    @Test
    void recordsThatAreTooLongForTheLinkShowNoRefusal() throws Exception {
        peers.add(readingPeer());
        startRelay(exchange -> exchange.getResponseSender().send(RECORDS.repeat(100)));
        StoreReader reader = newReader();
        reader.limitNext(RECORDS.length());

        assertThat(body(readOnLoop(reader))).isEqualTo("unfinished");

        assertThat(state.storeRoute().isRefused()).isFalse();
        assertThat(peerCalls).hasValue(0);
    }

    /** Guards against an answer of the store before its return, which arrives after one of the store that is there. */
    @Test
    void anAnswerOfAnEarlierEraIsNone() throws Exception {
        startRelay(inTurn(STORE_ERA, "4", "5", "4", "5"));
        AtomicInteger returns = new AtomicInteger();
        state.storeEra().addListener(returns::incrementAndGet);
        StoreReader reader = newReader();

        assertThat(body(readOnLoop(reader))).isEqualTo(RECORDS);
        assertThat(body(readOnLoop(reader))).isEqualTo("new_era");
        assertThat(body(readOnLoop(reader))).isEqualTo("old_era");
        assertThat(body(readOnLoop(reader))).isEqualTo(RECORDS);

        assertThat(returns).hasValue(1);
        assertThat(state.storeEra().current()).isEqualTo(5);
    }

    /** Guards against a relay that doesn't learn of a return since the store refuses it. */
    @Test
    void aRefusalTellsOfANewEra() throws Exception {
        startRelay(inTurn(STORE_ERA, "1", "503 2"));
        StoreReader reader = newReader();

        assertThat(body(readOnLoop(reader))).isEqualTo(RECORDS);
        assertThat(body(readOnLoop(reader))).isEqualTo("new_era");

        assertThat(state.storeRoute().isRefused()).isTrue();
    }

    /** Guards against a peer's answer that is of the store before its return, as nothing says of which era it is. */
    @Test
    void aPeerThatNamesNoEraIsFollowedByOneThatDoes() throws Exception {
        peers.add(readingPeer());
        peers.add(serverAt(inTurn(PEER_ERA, "1", "2")));
        startRelay(inTurn(STORE_ERA, "503 1", "503 1", "503 1"));
        StoreReader reader = newReader();

        assertThat(body(readOnLoop(reader))).isEqualTo(RECORDS);
        assertThat(body(readOnLoop(reader))).isEqualTo("new_era");

        assertThat(peerCalls).hasValue(1);
    }

    /** Guards against a relay that counts as current by an answer that may be of any era. */
    @Test
    void anAnswerWithoutAnEraIsBelievedButProvesNothing() throws Exception {
        startRelay(inTurn(STORE_ERA, "", "1", "1", ""));
        StoreReader reader = newReader();

        assertThat(readOnLoop(reader).get().isProof()).isTrue();
        assertThat(body(readOnLoop(reader))).isEqualTo("new_era");
        assertThat(readOnLoop(reader).get().isProof()).isFalse();
        assertThat(body(readOnLoop(reader))).isEqualTo(RECORDS);
    }

    /** Answers each call with the next of some eras, none if it is empty; another status than 200 stands before it. */
    private static HttpHandler inTurn(String header, String... eras) {
        AtomicInteger calls = new AtomicInteger();
        return exchange -> {
            String[] next = eras[calls.getAndIncrement()].split(" ");
            String era = next[next.length - 1];
            if (!era.isEmpty()) {
                exchange.getResponseHeaders().put(new HttpString(header), era);
            }
            if (next.length > 1) {
                exchange.setStatusCode(Integer.parseInt(next[0]));
            }
            exchange.getResponseSender().send(RECORDS);
        };
    }

    private Address closedPort() throws Exception {
        try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new Address("127.0.0.1", unused.getLocalPort());
        }
    }

    private Address silentServer(AtomicInteger calls) {
        return serverAt(exchange -> {
            calls.incrementAndGet();
            exchange.dispatch();
        });
    }

    private static CompletableFuture<StoreReader.Answer> read(StoreReader reader) {
        CompletableFuture<StoreReader.Answer> outcome = new CompletableFuture<>();
        reader.read(READ, READ_MILLIS, 3 * READ_MILLIS, outcome::complete);
        return outcome;
    }

    private CompletableFuture<StoreReader.Answer> readOnLoop(StoreReader reader) throws Exception {
        return loop.submit(() -> read(reader)).get();
    }

    private static String body(CompletableFuture<StoreReader.Answer> read) throws Exception {
        CallResult result = read.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).result();
        return result instanceof CallResult.Answered answered ? new String(answered.body()) : result.reason();
    }

    private StoreReader newReader() {
        StoreReader reader = new StoreReader(state, "TEST", 1);
        closed.add(() -> loop.submit(reader::close).get());
        return reader;
    }

    private Address serverAt(HttpHandler handler) {
        TestServer server = new TestServer(handler);
        closed.add(server);
        return server.address();
    }

    private Address readingPeer() {
        return serverAt(exchange -> {
            peerCalls.incrementAndGet();
            exchange.getResponseSender().send(RECORDS);
        });
    }

    private Address refusingPeer() {
        return serverAt(exchange -> {
            peerCalls.incrementAndGet();
            exchange.setStatusCode(503);
        });
    }

    private void startRelay() {
        startRelay(exchange -> {
            storeCalls.incrementAndGet();
            exchange.setStatusCode(503);
        });
    }

    private void startRelay(HttpHandler storeHandler) {
        Address store = serverAt(storeHandler);
        state = TestRelayState.of(store, dialect(), group, loop);
        state.storeRoute().setPeers(() -> peers);
    }

    private static StoreDialect dialect() {
        PlatformCall call = new PlatformCall(HttpMethod.GET, "/", EmptyHttpHeaders.INSTANCE, new byte[0]);
        return TestRelayState.answering(StoreDialect.class, (name, arguments) -> {
            if (name.equals("readEra")) {
                String era = ((HttpHeaders) arguments[0]).get(STORE_ERA);
                return era == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(era));
            }
            return call;
        });
    }
}
