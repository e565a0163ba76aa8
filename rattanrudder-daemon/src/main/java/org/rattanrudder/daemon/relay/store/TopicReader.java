package org.rattanrudder.daemon.relay.store;

import java.util.Optional;
import java.util.function.Consumer;
import org.rattanrudder.core.time.Moment;
import org.rattanrudder.daemon.relay.net.CallResult;
import org.rattanrudder.daemon.relay.net.HttpCallClient;
import org.rattanrudder.daemon.relay.net.RepeatingCallClient;
import org.rattanrudder.daemon.relay.net.RepeatingCallClient.Outcome;
import org.rattanrudder.daemon.relay.net.RepeatingCallClient.RepeatableCall;
import org.rattanrudder.daemon.relay.port.PlatformCall;
import org.rattanrudder.daemon.relay.port.StoreDialect;
import org.rattanrudder.daemon.relay.port.StoreDialect.Topic;
import org.rattanrudder.daemon.relay.port.StoreResponse;
import org.rattanrudder.daemon.relay.process.RelayState;

/**
 * Calls the platform's store for the records of one topic, and parses its answers. Only one call may be in flight; it
 * is repeated on new connections while its answer is late.
 */
final class TopicReader implements AutoCloseable {
    private static final long LISTING_TIMEOUT_MILLIS = 1_000;

    /** Time that an answer may take beyond the long poll's wait; a slow store takes about 250 ms. */
    private static final long ANSWER_MARGIN_MILLIS = 700;

    private final RelayState state;
    private final Topic topic;
    private final StoreDialect dialect;
    private final RepeatingCallClient client;
    private boolean closed;
    private boolean polling;

    /** Creates a reader that makes no calls until it is asked. */
    TopicReader(RelayState state, Topic topic) {
        this.state = state;
        this.topic = topic;
        dialect = state.platform().store();
        client = new RepeatingCallClient(
                state.loop(),
                state.clock()::now,
                () -> HttpCallClient.forLists(state.connector(), state.heldBytes(), state::store, state.storeCalls()));
    }

    /** The result of a call. */
    sealed interface Result {
        /**
         * The store's answer.
         *
         * @param askedAt when it was asked for
         * @param waitMillis how long the store was to wait for a record before it answers
         */
        record Read(StoreResponse response, Moment askedAt, long waitMillis) implements Result {}

        /** The call got no answer, or one that refuses it or can't be read. */
        record Failed(String reason) implements Result {}
    }

    /** Parses the body of an answer. */
    private interface AnswerParser {
        StoreResponse parse(int status, byte[] body);
    }

    /** Returns whether a call is in flight. */
    boolean isBusy() {
        return client.isBusy();
    }

    /** Returns whether the call in flight was repeated. */
    boolean isRepeated() {
        return client.isRepeated();
    }

    /** Repeats the call in flight at once on a new connection, if it may be repeated. */
    void repeatNow() {
        client.repeatNow();
    }

    /** Returns whether a poll is in flight. */
    boolean isPolling() {
        return polling;
    }

    /**
     * Lists the newest record of each key.
     *
     * @param after the key after which the listing continues; empty for its first page
     * @param then called with the result, unless the call is cancelled
     */
    void list(Optional<String> after, Consumer<Result> then) {
        PlatformCall list = dialect.list(topic, after);
        call(new RepeatableCall(list, list, 0, LISTING_TIMEOUT_MILLIS), dialect::readListing, then);
    }

    /**
     * Polls for records.
     *
     * @param from the offset of the first record to read
     * @param waitMillis how long the store waits for a record
     * @param then called with the result, unless the call is cancelled
     */
    void poll(long from, long waitMillis, Consumer<Result> then) {
        polling = true;
        call(
                new RepeatableCall(
                        dialect.poll(topic, from, waitMillis),
                        dialect.poll(topic, from, 0),
                        waitMillis,
                        waitMillis + ANSWER_MARGIN_MILLIS),
                (status, body) -> dialect.readRecords(topic, from, status, body),
                then);
    }

    private void call(RepeatableCall call, AnswerParser parser, Consumer<Result> then) {
        client.call(call, outcome -> {
            polling = false;
            if (closed) {
                return;
            }
            recordCalls(call, outcome);
            then.accept(parse(outcome, outcome.repeated() ? 0 : call.waitMillis(), parser));
        });
    }

    private void recordCalls(RepeatableCall call, Outcome outcome) {
        for (int made = 0; made < outcome.calls(); made++) {
            state.metrics().recordStoreCall(topic.name());
        }
        if (!(outcome.result() instanceof CallResult.Answered)) {
            return;
        }
        long takenMillis = state.nowMillis() - outcome.beganAt().atLeastMillis();
        state.metrics().recordStoreAnswer(topic.name(), Math.max(0, takenMillis - call.waitMillis()));
        if (outcome.repeated()) {
            state.log()
                    .warn(
                            "store_answer_late",
                            "topic",
                            topic.name(),
                            "wait_ms",
                            Long.toString(call.waitMillis()),
                            "answered_after_ms",
                            Long.toString(takenMillis),
                            "calls",
                            Integer.toString(outcome.calls()));
        }
    }

    private static Result parse(Outcome outcome, long waitMillis, AnswerParser parser) {
        if (outcome.result() instanceof CallResult.Unanswered unanswered) {
            return new Result.Failed(unanswered.reason());
        }
        CallResult.Answered answered = (CallResult.Answered) outcome.result();
        StoreResponse read;
        try {
            read = parser.parse(answered.status(), answered.body());
        } catch (IllegalArgumentException malformed) {
            return new Result.Failed("malformed: " + malformed.getMessage());
        }
        return read instanceof StoreResponse.Failed failed
                ? new Result.Failed("status " + failed.status())
                : new Result.Read(read, outcome.askedAt(), waitMillis);
    }

    /** Cancels the call in flight, and closes the connection; the next call opens a new one. */
    void cancel() {
        client.cancel();
        polling = false;
    }

    @Override
    public void close() {
        closed = true;
        client.close();
    }
}
