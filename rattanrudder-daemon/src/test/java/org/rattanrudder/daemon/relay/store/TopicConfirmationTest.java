package org.rattanrudder.daemon.relay.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanrudder.core.topics.LogPosition;
import org.rattanrudder.daemon.TestServer;
import org.rattanrudder.daemon.relay.port.PlatformCall;
import org.rattanrudder.daemon.relay.port.StoreDialect;
import org.rattanrudder.daemon.relay.port.StoreDialect.Topic;
import org.rattanrudder.daemon.relay.port.StoreRead;
import org.rattanrudder.daemon.relay.port.StoreResponse;
import org.rattanrudder.daemon.relay.process.RelayState;

/** Confirmations that are under way when the store comes back from an older copy. */
class TopicConfirmationTest {
    private static final String ERA = "Era";
    private static final String NO_ERA = "";
    private static final long TIMEOUT_MILLIS = 5_000;

    /** How many records the store has behind what the follower has read at first. */
    private static final long UNREAD = 2;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final List<AutoCloseable> closed = new ArrayList<>();
    private final AtomicReference<LogPosition> readPosition = new AtomicReference<>(LogPosition.startOf(1));
    private final CompletableFuture<Void> followerAsked = new CompletableFuture<>();
    private final CompletableFuture<HttpServerExchange> held = new CompletableFuture<>();
    private volatile String era = "1";
    private volatile boolean holdsNext;
    private RelayState state;
    private TopicConfirmation confirmation;
    private StoreReader reader;

    @BeforeEach
    void start() throws Exception {
        TestServer store = new TestServer(this::serve);
        closed.add(store);
        state = TestRelayState.of(store.address(), dialect(), group, loop);
        confirmation = new TopicConfirmation(
                state, Topic.DESIRED_STATE, readPosition::get, () -> followerAsked.complete(null));
        closed.add(() -> loop.submit(confirmation::close).get());
        reader = new StoreReader(state, "TEST", 1);
        closed.add(() -> loop.submit(reader::close).get());
        read();
    }

    @AfterEach
    void close() throws Exception {
        for (int last = closed.size() - 1; last >= 0; last--) {
            closed.get(last).close();
        }
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private void serve(HttpServerExchange exchange) {
        if (holdsNext) {
            holdsNext = false;
            exchange.dispatch(() -> held.complete(exchange));
        } else {
            answer(exchange, era);
        }
    }

    private static void answer(HttpServerExchange exchange, String era) {
        if (!era.isEmpty()) {
            exchange.getResponseHeaders().put(new HttpString(ERA), era);
        }
        exchange.getResponseSender().send("records");
    }

    /** Has the relay hear of the store's era by a read of its own. */
    private void read() throws Exception {
        CompletableFuture<StoreReader.Answer> answered = new CompletableFuture<>();
        StoreRead next = new StoreRead.From(Topic.TARGETS, 0);
        loop.execute(() -> reader.read(next, TIMEOUT_MILLIS, TIMEOUT_MILLIS, answered::complete));
        answered.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void returnStore() throws Exception {
        era = "2";
        read();
        assertThat(state.storeEra().current()).isEqualTo(2);
    }

    private CompletableFuture<Boolean> confirm() {
        CompletableFuture<Boolean> confirmed = new CompletableFuture<>();
        loop.execute(() -> confirmation.confirm(TIMEOUT_MILLIS, confirmed::complete));
        return confirmed;
    }

    private static boolean result(CompletableFuture<Boolean> confirmed) throws Exception {
        return confirmed.get(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Test
    void whatTheFollowerReadsInTheSameEraIsConfirmed() throws Exception {
        CompletableFuture<Boolean> confirmed = confirm();
        followerAsked.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);

        readPosition.set(LogPosition.startOf(1).plus(UNREAD));

        assertThat(result(confirmed)).isTrue();
    }

    /** Guards against a denial by what was read before the return, of which the confirmation is the first to hear. */
    @Test
    void aConfirmationThatHearsOfTheReturnFails() throws Exception {
        readPosition.set(LogPosition.startOf(1).plus(UNREAD));
        era = "2";

        assertThat(result(confirm())).isFalse();
    }

    /** Guards against a confirmation by an answer that was under way when another call heard of the return. */
    @ParameterizedTest
    @ValueSource(strings = {"1", NO_ERA, "2"})
    void anAnswerThatWasUnderWayConfirmsNothing(String named) throws Exception {
        readPosition.set(LogPosition.startOf(1).plus(UNREAD));
        holdsNext = true;
        CompletableFuture<Boolean> confirmed = confirm();
        HttpServerExchange late = held.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);

        returnStore();
        readPosition.set(LogPosition.startOf(2).plus(UNREAD));
        answer(late, named);

        assertThat(result(confirmed)).isFalse();
    }

    /** Guards against a follower's position in the new era that counts as behind an end in the old one. */
    @Test
    void aConfirmationThatWaitsForTheFollowerFailsAtTheReturn() throws Exception {
        CompletableFuture<Boolean> confirmed = confirm();
        followerAsked.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);

        returnStore();
        readPosition.set(LogPosition.startOf(2).plus(UNREAD));

        assertThat(result(confirmed)).isFalse();
    }

    private static StoreDialect dialect() {
        return TestRelayState.answering(StoreDialect.class, (name, arguments) -> switch (name) {
            case "readEra" -> named((HttpHeaders) arguments[0]);
            case "readRecords" -> {
                LogPosition end =
                        LogPosition.startOf(((LogPosition) arguments[1]).era()).plus(UNREAD);
                yield new StoreResponse.Records(List.of(), end, end);
            }
            default -> new PlatformCall(HttpMethod.GET, "/", EmptyHttpHeaders.INSTANCE, new byte[0]);
        });
    }

    private static OptionalLong named(HttpHeaders headers) {
        String named = headers.get(ERA);
        return named == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(named));
    }
}
