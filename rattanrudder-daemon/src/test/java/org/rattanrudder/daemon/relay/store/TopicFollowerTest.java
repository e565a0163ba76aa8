package org.rattanrudder.daemon.relay.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.time.Moment;
import org.rattanrudder.core.topics.LogPosition;
import org.rattanrudder.daemon.TestServer;
import org.rattanrudder.daemon.relay.port.KeyedRecord;
import org.rattanrudder.daemon.relay.port.PlatformCall;
import org.rattanrudder.daemon.relay.port.StoreDialect;
import org.rattanrudder.daemon.relay.port.StoreDialect.Topic;
import org.rattanrudder.daemon.relay.port.StoreResponse;
import org.rattanrudder.daemon.relay.process.RelayState;

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
        return TestRelayState.of(store, TestRelayState.answering(StoreDialect.class, storeAnswers()), group, loop);
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
