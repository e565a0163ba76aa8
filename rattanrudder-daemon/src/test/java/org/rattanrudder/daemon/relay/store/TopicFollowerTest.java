package org.rattanrudder.daemon.relay.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.time.Moment;
import org.rattanrudder.core.topics.LogPosition;
import org.rattanrudder.daemon.TestServer;
import org.rattanrudder.daemon.logging.EventLog;
import org.rattanrudder.daemon.loop.ClockSource;
import org.rattanrudder.daemon.loop.MonotonicClock;
import org.rattanrudder.daemon.loop.ProcessClock;
import org.rattanrudder.daemon.relay.net.RelayChannels;
import org.rattanrudder.daemon.relay.port.KeyedRecord;
import org.rattanrudder.daemon.relay.port.PlatformAdapter;
import org.rattanrudder.daemon.relay.port.PlatformCall;
import org.rattanrudder.daemon.relay.port.StoreDialect;
import org.rattanrudder.daemon.relay.port.StoreDialect.Topic;
import org.rattanrudder.daemon.relay.port.StoreResponse;
import org.rattanrudder.daemon.relay.process.RelayMetrics;
import org.rattanrudder.daemon.relay.process.RelayState;
import org.rattanrudder.document.RelaySettings;
import org.rattanrudder.document.RelaySettings.Bounds;

/** A follower of a topic that holds one record. */
class TopicFollowerTest {
    private static final int TIMEOUT_SECONDS = 10;
    private static final LogPosition END = LogPosition.START.plus(2);
    private static final KeyedRecord RECORD =
            new KeyedRecord(LogPosition.START.plus(1), "key", Optional.of(new byte[0]));
    private static final PlatformCall CALL =
            new PlatformCall(HttpMethod.GET, "/", EmptyHttpHeaders.INSTANCE, new byte[0]);

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    /** What a listener handles. */
    private enum Handled {
        RECORD,
        LISTING
    }

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    /** Guards against a relay that reads a topic no more, since a record's content is nested too deeply to be read. */
    @ParameterizedTest
    @EnumSource
    void aStackOverflowEndsNoReading(Handled failing) throws Exception {
        OverflowingOnce listener = new OverflowingOnce(failing);
        EventLoop loop = group.next();
        try (TestServer store =
                new TestServer(exchange -> exchange.getResponseSender().send(""))) {
            TopicFollower follower = new TopicFollower(
                    state(store.address(), loop),
                    Topic.DESIRED_STATE,
                    PollIntervals.RARE,
                    TopicFollower.InitialRead.NEWEST,
                    listener);
            loop.execute(follower::start);

            listener.readToEnd.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);

            loop.submit(follower::close).get();
        }
        assertThat(listener.handled).contains(RECORD);
    }

    private RelayState state(Address store, EventLoop loop) {
        StoreDialect dialect = answering(StoreDialect.class, storeAnswers());
        return new RelayState(
                settings(store),
                answering(PlatformAdapter.class, Map.of("store", dialect, "callersCompete", false)),
                new ProcessClock(ClockSource.system()),
                loop,
                RelayChannels.connector(group),
                new EventLog(Logger.getLogger(TopicFollowerTest.class), new MonotonicClock()),
                new RelayMetrics(),
                RandomGenerator.of("L64X128MixRandom"));
    }

    private static Map<String, Object> storeAnswers() {
        return Map.of(
                "readEra",
                OptionalLong.empty(),
                "list",
                CALL,
                "read",
                CALL,
                "readListing",
                new StoreResponse.Listing(List.of(RECORD), false, END),
                "readRecords",
                new StoreResponse.Records(List.of(), END, END));
    }

    /** Returns an object each of whose methods returns the same object always, or null. */
    private static <T> T answering(Class<T> type, Map<String, ?> answers) {
        return type.cast(Proxy.newProxyInstance(
                type.getClassLoader(),
                new Class<?>[] {type},
                (proxy, called, arguments) -> answers.get(called.getName())));
    }

    private static RelaySettings settings(Address store) {
        return new RelaySettings(
                "relay-1",
                "north",
                store,
                store,
                store,
                store,
                store,
                new Bounds(0.2, 64, 10_000, 300, 15_000, 2_000, 2_000, 8_000, 1.5, 5),
                Map.of(),
                false,
                Set.of());
    }

    /** Fails to handle the first record or the first listing. */
    private static final class OverflowingOnce implements TopicListener {
        private final List<KeyedRecord> handled = new ArrayList<>();
        private final CompletableFuture<Moment> readToEnd = new CompletableFuture<>();
        private final Handled failing;
        private boolean failed;

        OverflowingOnce(Handled failing) {
            this.failing = failing;
        }

        @Override
        public void onRecord(KeyedRecord record) {
            failOnce(Handled.RECORD);
            handled.add(record);
        }

        @Override
        public void onListed(Set<String> keys, LogPosition end) {
            failOnce(Handled.LISTING);
        }

        @Override
        public void onReadToEnd(Moment askedAt) {
            readToEnd.complete(askedAt);
        }

        private void failOnce(Handled handling) {
            if (handling == failing && !failed) {
                failed = true;
                throw new StackOverflowError();
            }
        }
    }
}
