package org.rattanrudder.daemon.relay.store;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.rattanrudder.core.topics.LogPosition;
import org.rattanrudder.daemon.relay.net.StepTimer;
import org.rattanrudder.daemon.relay.port.StoreDialect;
import org.rattanrudder.daemon.relay.port.StoreDialect.Topic;
import org.rattanrudder.daemon.relay.port.StoreRead;
import org.rattanrudder.daemon.relay.port.StoreResponse;
import org.rattanrudder.daemon.relay.process.RelayState;

/**
 * Confirms that a follower has read all records that were written to its topic before now.
 *
 * <p>Followers read with a delay, and a pending read doesn't show whether its connection still works. One call says
 * where the topic ends for all requests that were waiting when it was made; they are confirmed once the follower has
 * read up to there.
 */
final class TopicConfirmation implements AutoCloseable {
    /** Time until the first check whether the follower has read up to the end; each further one is twice as long. */
    private static final long MIN_CHECK_MILLIS = 10;

    private static final long MAX_CHECK_MILLIS = 100;

    private final RelayState state;
    private final Topic topic;
    private final Supplier<LogPosition> readPosition;
    private final Runnable readNow;
    private final StoreReader reader;
    private final StepTimer timer;
    private List<Pending> waiting = new ArrayList<>();

    /**
     * Creates a confirmation that makes no calls until it is asked.
     *
     * @param readPosition up to where the follower has read
     * @param readNow has the follower read at once
     */
    TopicConfirmation(RelayState state, Topic topic, Supplier<LogPosition> readPosition, Runnable readNow) {
        this.state = state;
        this.topic = topic;
        this.readPosition = readPosition;
        this.readNow = readNow;
        reader = new StoreReader(state, "CONFIRM", 1);
        timer = new StepTimer(state.loop());
    }

    /**
     * A request for a confirmation.
     *
     * @param until when it is given up
     * @param then receives the result
     */
    private record Pending(long until, Consumer<Boolean> then) {}

    /**
     * Finds out whether the follower has read all that was written before this call.
     *
     * @param timeoutMillis how long to wait for the store and the follower, in ms
     * @param then called once
     */
    void confirm(long timeoutMillis, Consumer<Boolean> then) {
        waiting.add(new Pending(state.nowMillis() + timeoutMillis, then));
        call();
    }

    private void call() {
        if (reader.isBusy() || waiting.isEmpty()) {
            return;
        }
        List<Pending> asking = waiting;
        waiting = new ArrayList<>();
        long now = state.nowMillis();
        long longest =
                Math.max(1, asking.stream().mapToLong(Pending::until).max().orElse(now) - now);
        LogPosition from = readPosition.get();
        StoreDialect dialect = state.platform().store();
        reader.read(new StoreRead.From(topic, from.offset()), longest, longest, answer -> {
            StoreResponse records = answer.result().toRecords(dialect, topic, from);
            onAnswer(asking, records, answer.isProof() && isOfCurrentEra(from));
        });
    }

    private boolean isOfCurrentEra(LogPosition position) {
        return position.era() == state.storeEra().current();
    }

    private void onAnswer(List<Pending> asking, StoreResponse answer, boolean isProof) {
        if (isProof && answer instanceof StoreResponse.Records records) {
            awaitRead(asking, records.end(), MIN_CHECK_MILLIS);
        } else {
            asking.forEach(each -> each.then().accept(false));
        }
        call();
    }

    private void awaitRead(List<Pending> asking, LogPosition end, long pauseMillis) {
        if (isOfCurrentEra(end) && !readPosition.get().isBefore(end)) {
            asking.forEach(each -> each.then().accept(true));
            return;
        }
        long now = state.nowMillis();
        boolean holds = isOfCurrentEra(end);
        List<Pending> left = new ArrayList<>();
        for (Pending each : asking) {
            if (holds && now < each.until()) {
                left.add(each);
            } else {
                each.then().accept(false);
            }
        }
        if (!left.isEmpty()) {
            readNow.run();
            timer.later(() -> awaitRead(left, end, Math.min(MAX_CHECK_MILLIS, 2 * pauseMillis)), pauseMillis);
        }
    }

    @Override
    public void close() {
        timer.close();
        reader.close();
    }
}
