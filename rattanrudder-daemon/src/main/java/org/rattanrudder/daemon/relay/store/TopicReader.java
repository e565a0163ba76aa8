package org.rattanrudder.daemon.relay.store;

import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.rattanrudder.core.time.Moment;
import org.rattanrudder.core.topics.LogPosition;
import org.rattanrudder.daemon.relay.net.CallResult;
import org.rattanrudder.daemon.relay.port.StoreDialect;
import org.rattanrudder.daemon.relay.port.StoreDialect.Topic;
import org.rattanrudder.daemon.relay.port.StoreRead;
import org.rattanrudder.daemon.relay.port.StoreResponse;
import org.rattanrudder.daemon.relay.process.RelayState;
import org.rattanrudder.daemon.relay.process.StoreEra;

/**
 * Calls the platform's store for the records of one topic, and parses its answers. Only one call may be in flight; one
 * that may be made more than once is repeated on new connections while its answer is late.
 */
final class TopicReader implements AutoCloseable {
    /** Time after which a call fails; a store with many calls before it may take a second. */
    static final long TIMEOUT_MILLIS = 1_500;

    /** Time in which a read is made at the store, and by peers if the store refuses it. */
    private static final long TOTAL_MILLIS = 3 * TIMEOUT_MILLIS;

    /** Why an answer wasn't taken whole, though it came. */
    private static final Set<String> UNREADABLE = Set.of("malformed", "too_long");

    private final StoreDialect dialect;
    private final Topic topic;
    private final StoreReader reader;
    private final StoreEra era;
    private boolean closed;
    private long listedBytes;

    /**
     * Creates a reader that makes no calls until it is asked.
     *
     * @param maxCalls how many times a call is made at most while its answer is late, the first included
     */
    TopicReader(RelayState state, Topic topic, int maxCalls) {
        this.topic = topic;
        dialect = state.platform().store();
        era = state.storeEra();
        reader = new StoreReader(state, topic.name(), maxCalls);
    }

    /** The result of a call. */
    sealed interface Result {
        /**
         * The store's answer.
         *
         * @param askedAt when it was asked for
         * @param isProof whether nothing that was written before can be missing from it
         */
        record Read(StoreResponse response, Moment askedAt, boolean isProof) implements Result {}

        /**
         * The call got no answer, or one that refuses it or can't be read.
         *
         * @param unreadable whether an answer came that can't be read; the same call would get it again
         */
        record Failed(String reason, boolean unreadable) implements Result {}
    }

    /** Parses the body of an answer. */
    private interface AnswerParser {
        StoreResponse parse(int status, byte[] body);
    }

    /** Returns the length of the pages of the last listing, in bytes. */
    long listedBytes() {
        return listedBytes;
    }

    /** Returns whether a call is in flight. */
    boolean isBusy() {
        return reader.isBusy();
    }

    /**
     * Lists the newest record of each key.
     *
     * @param after the key after which the listing continues; empty for its first page
     * @param then called with the result, unless the call is cancelled
     */
    void list(Optional<String> after, Consumer<Result> then) {
        reader.limitNext(Long.MAX_VALUE);
        listedBytes = after.isPresent() ? listedBytes : 0;
        read(
                new StoreRead.Newest(topic, after),
                (status, body) -> {
                    listedBytes += body.length;
                    return dialect.readListing(era.current(), status, body);
                },
                then);
    }

    /**
     * Polls for records; without any, the store answers at once.
     *
     * @param from the position of the first record to read
     * @param maxBytes length from which on an answer is given up, in bytes
     * @param then called with the result, unless the call is cancelled
     */
    void poll(LogPosition from, long maxBytes, Consumer<Result> then) {
        reader.limitNext(maxBytes);
        read(
                new StoreRead.From(topic, from.offset()),
                (status, body) ->
                        dialect.readRecords(topic, new LogPosition(era.current(), from.offset()), status, body),
                then);
    }

    private void read(StoreRead read, AnswerParser parser, Consumer<Result> then) {
        reader.read(read, TIMEOUT_MILLIS, TOTAL_MILLIS, answer -> {
            if (!closed) {
                then.accept(parse(answer, parser));
            }
        });
    }

    private static Result parse(StoreReader.Answer answer, AnswerParser parser) {
        if (answer.result() instanceof CallResult.Unanswered unanswered) {
            return new Result.Failed(unanswered.reason(), UNREADABLE.contains(unanswered.reason()));
        }
        CallResult.Answered answered = (CallResult.Answered) answer.result();
        StoreResponse read;
        try {
            read = parser.parse(answered.status(), answered.body());
        } catch (IllegalArgumentException malformed) {
            return new Result.Failed("malformed: " + malformed.getMessage(), true);
        }
        return read instanceof StoreResponse.Failed failed
                ? new Result.Failed("status " + failed.status(), false)
                : new Result.Read(read, answer.askedAt(), answer.isProof());
    }

    /** Cancels the call in flight, and closes the connection; the next call opens a new one. */
    void cancel() {
        reader.cancel();
    }

    @Override
    public void close() {
        closed = true;
        reader.close();
    }
}
