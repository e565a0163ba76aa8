package org.rattanrudder.daemon.relay.store;

import java.util.Optional;
import java.util.function.Consumer;
import org.rattanrudder.daemon.relay.net.CallResult;
import org.rattanrudder.daemon.relay.net.HttpCallClient;
import org.rattanrudder.daemon.relay.port.PlatformCall;
import org.rattanrudder.daemon.relay.port.StoreDialect;
import org.rattanrudder.daemon.relay.port.StoreDialect.Topic;
import org.rattanrudder.daemon.relay.port.StoreResponse;
import org.rattanrudder.daemon.relay.process.RelayState;

/** Calls the platform's store for the records of one topic, and parses its answers. Only one call may be in flight. */
final class TopicReader implements AutoCloseable {
    private static final long LISTING_TIMEOUT_MILLIS = 1_000;

    /** Time that an answer may take beyond the long poll's wait; a slow store takes about 250 ms. */
    private static final long ANSWER_MARGIN_MILLIS = 700;

    private final RelayState state;
    private final Topic topic;
    private final StoreDialect dialect;
    private final HttpCallClient client;
    private boolean closed;
    private boolean polling;

    /** Creates a reader that makes no calls until it is asked. */
    TopicReader(RelayState state, Topic topic) {
        this.state = state;
        this.topic = topic;
        dialect = state.platform().store();
        client = HttpCallClient.forLists(state.connector(), state.heldBytes(), state::store);
    }

    /** The result of a call. */
    sealed interface Result {
        /** The store's answer. */
        record Read(StoreResponse response) implements Result {}

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
        call(dialect.list(topic, after), LISTING_TIMEOUT_MILLIS, dialect::readListing, then);
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
                dialect.poll(topic, from, waitMillis),
                waitMillis + ANSWER_MARGIN_MILLIS,
                (status, body) -> dialect.readRecords(topic, from, status, body),
                then);
    }

    private void call(PlatformCall call, long timeoutMillis, AnswerParser parser, Consumer<Result> then) {
        client.call(call, timeoutMillis, answer -> {
            polling = false;
            if (closed) {
                return;
            }
            state.metrics().recordStoreCall(topic.name());
            then.accept(parse(answer, parser));
        });
    }

    private static Result parse(CallResult answer, AnswerParser parser) {
        if (answer instanceof CallResult.Unanswered unanswered) {
            return new Result.Failed(unanswered.reason());
        }
        CallResult.Answered answered = (CallResult.Answered) answer;
        StoreResponse read;
        try {
            read = parser.parse(answered.status(), answered.body());
        } catch (IllegalArgumentException malformed) {
            return new Result.Failed("malformed: " + malformed.getMessage());
        }
        return read instanceof StoreResponse.Failed failed
                ? new Result.Failed("status " + failed.status())
                : new Result.Read(read);
    }

    /** Cancels the call in flight, and closes the connection; the next call opens a new one. */
    void cancel() {
        client.close();
        polling = false;
    }

    @Override
    public void close() {
        closed = true;
        client.close();
    }
}
