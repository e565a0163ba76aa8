package org.rattanrudder.daemon.relay.store;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.rattanrudder.daemon.relay.net.CallResult;
import org.rattanrudder.daemon.relay.net.HttpCallClient;
import org.rattanrudder.daemon.relay.net.StepTimer;
import org.rattanrudder.daemon.relay.port.KeyedRecord;
import org.rattanrudder.daemon.relay.port.PlatformCall;
import org.rattanrudder.daemon.relay.port.StoreDialect;
import org.rattanrudder.daemon.relay.port.StoreDialect.Topic;
import org.rattanrudder.daemon.relay.port.StoreResponse;
import org.rattanrudder.daemon.relay.process.RelayState;

/**
 * Consumes a topic of the platform's store: first lists the newest record of each key, then long-polls for new records.
 *
 * <p>If the store has discarded records before they were read, the newest ones are listed again. If the store is
 * unavailable, calls are retried with exponential back-off; the listener is called when the store becomes unavailable
 * and when it is available again.
 */
public final class TopicFollower implements AutoCloseable {
    private static final long LISTING_TIMEOUT_MILLIS = 1_000;

    /** Time that an answer may take beyond the long poll's wait; a slow store takes about 250 ms. */
    private static final long ANSWER_MARGIN_MILLIS = 700;

    /** A read pending for longer than this is treated as stalled once a peer has reported a newer record. */
    private static final long STALLED_READ_MILLIS = 600;

    /** The wait of a long poll while a record is known to be due: such a poll is usually answered at once. */
    private static final long EXPECTED_RECORD_WAIT_MILLIS = 200;

    /** How long a record is expected: an append that got no answer may have written nothing. */
    private static final long MAX_EXPECTATION_MILLIS = 5_000;

    private static final long MIN_BACKOFF_MILLIS = 50;
    private static final long MAX_BACKOFF_MILLIS = 800;

    /** Limits the shift that doubles the back-off; the maximum is reached by then. */
    private static final int MAX_BACKOFF_DOUBLINGS = 5;

    /** Handles a topic's records. */
    public interface Listener {
        /**
         * Handles a record.
         *
         * @throws IllegalArgumentException if the record is malformed
         */
        void onRecord(KeyedRecord record);

        /**
         * Handles a record from a listing, which may be old.
         *
         * @throws IllegalArgumentException if the record is malformed
         */
        default void onListedRecord(KeyedRecord record) {
            onRecord(record);
        }

        /** Returns whether only the last well-formed record of each key matters, and the order of keys doesn't. */
        default boolean needsOnlyNewest() {
            return false;
        }

        /** Handles the end of a complete listing, with the keys in it. */
        default void onListed(Set<String> keys, long end) {}

        /** Called after each successful answer of the store. */
        default void onAvailable() {}

        /** Called when the store doesn't answer or refuses a call. */
        default void onUnavailable() {}
    }

    private final RelayState state;
    private final StepTimer timer;
    private final Topic topic;
    private final PollIntervals intervals;
    private final Listener listener;
    private final StoreDialect dialect;
    private final HttpCallClient client;
    private final Set<String> listedKeys = new HashSet<>();
    private final InitialRead reading;
    private long nextOffset;
    private long firstRetainedOffset;
    private long listingEnd = -1;
    private boolean available = true;
    private boolean answeredOnce;
    private int consecutiveFailures;
    private int consecutiveTruncations;
    private long polledAt;
    private boolean polling;
    private boolean betweenPolls;
    private long answeredAt;
    private long nextPollAt;

    /** Time until which an unread record is expected to exist. */
    private long expectingUntil = Long.MIN_VALUE / 2;

    /** Which existing records are read before new ones are polled for. */
    public enum InitialRead {
        /** The newest record of each key. */
        NEWEST,
        /** All retained records of a topic without keys. */
        KEPT,
        /** The newest record of each key, then all retained records. */
        NEWEST_AND_KEPT
    }

    /** Creates a follower that is idle until {@link #start}. */
    public TopicFollower(
            RelayState state, Topic topic, PollIntervals intervals, InitialRead reading, Listener listener) {
        this.state = state;
        timer = new StepTimer(state.loop());
        this.topic = topic;
        this.intervals = intervals;
        this.reading = reading;
        this.listener = listener;
        dialect = state.platform().store();
        client = new HttpCallClient(state.connector(), state::store);
    }

    /** Starts to read the topic, from the beginning of what is read initially. */
    public void start() {
        betweenPolls = false;
        if (isKeyed()) {
            list(Optional.empty());
        } else {
            poll();
        }
    }

    private boolean isKeyed() {
        return reading != InitialRead.KEPT;
    }

    private void list(Optional<String> after) {
        if (after.isEmpty()) {
            listedKeys.clear();
            listingEnd = -1;
        }
        PlatformCall call = dialect.list(topic, after);
        client.call(
                call,
                LISTING_TIMEOUT_MILLIS,
                answer -> onResult(answer, (status, body) -> dialect.readListing(status, body)));
    }

    private void poll() {
        if (client.isBusy()) {
            return;
        }
        betweenPolls = false;
        polling = true;
        long asked = nextOffset;
        polledAt = state.nowMillis();
        long wait = waitMillis();
        client.call(
                dialect.poll(topic, asked, wait),
                wait + ANSWER_MARGIN_MILLIS,
                answer -> onResult(answer, (status, body) -> dialect.readRecords(topic, asked, status, body)));
    }

    private long waitMillis() {
        if (!answeredOnce) {
            // If the topic has no records, the first answer would come only after the full wait.
            return 0;
        }
        long usual = intervals.waitMillis().applyAsLong(state.fleet().livePeerCount(polledAt));
        return polledAt < expectingUntil ? Math.min(usual, EXPECTED_RECORD_WAIT_MILLIS) : usual;
    }

    /** Parses the body of an answer. */
    private interface AnswerParser {
        StoreResponse parse(int status, byte[] body);
    }

    private void onResult(CallResult answer, AnswerParser parser) {
        polling = false;
        if (timer.isClosed()) {
            return;
        }
        state.metrics().recordStoreCall(topic.name());
        if (answer instanceof CallResult.Unanswered unanswered) {
            onFailure(unanswered.reason());
            return;
        }
        CallResult.Answered answered = (CallResult.Answered) answer;
        StoreResponse read;
        try {
            read = parser.parse(answered.status(), answered.body());
        } catch (IllegalArgumentException malformed) {
            onFailure("malformed: " + malformed.getMessage());
            return;
        }
        if (read instanceof StoreResponse.Failed failed) {
            onFailure("status " + failed.status());
            return;
        }
        onSuccess();
        handle(read);
    }

    private void handle(StoreResponse read) {
        if (read instanceof StoreResponse.Listing listing) {
            onListing(listing);
        } else if (read instanceof StoreResponse.Records records) {
            consecutiveTruncations = 0;
            nextOffset = records.next();
            if (!records.records().isEmpty()) {
                expectingUntil = polledAt;
            }
            deliverAll(records.records());
            betweenPolls = true;
            answeredAt = state.nowMillis();
            long gap = gapMillis();
            nextPollAt = answeredAt + gap;
            timer.reschedule(this::poll, gap);
        } else if (read instanceof StoreResponse.Forgotten forgotten) {
            onTruncated(forgotten);
        }
    }

    private void deliverAll(List<KeyedRecord> records) {
        if (listener.needsOnlyNewest()) {
            deliverNewest(records);
        } else {
            records.forEach(record -> deliver(record, listener::onRecord));
        }
    }

    /**
     * Delivers the last well-formed record of each key. After a pause, or during a burst of changes, one answer may
     * hold many records of the same key, and parsing each of them would block the event loop and delay requests.
     */
    private void deliverNewest(List<KeyedRecord> records) {
        Set<String> delivered = new HashSet<>();
        for (int index = records.size() - 1; index >= 0; index--) {
            KeyedRecord record = records.get(index);
            if (!delivered.contains(record.key()) && deliver(record, listener::onRecord)) {
                delivered.add(record.key());
            }
        }
    }

    /**
     * Restarts with a new listing after the store has discarded unread records. If the store keeps discarding what it
     * has just listed, each relay would list fifty times a second without end, so the delay between listings doubles.
     */
    private void onTruncated(StoreResponse.Forgotten forgotten) {
        state.log()
                .warn(
                        "records_forgotten",
                        "topic",
                        topic.name(),
                        "from",
                        Long.toString(nextOffset),
                        "first",
                        forgotten.first().isPresent()
                                ? Long.toString(forgotten.first().getAsLong())
                                : "unknown",
                        "in_a_row",
                        Integer.toString(consecutiveTruncations + 1));
        if (!isKeyed()) {
            // Without keys there is no listing to catch up from: continue at the first retained record.
            nextOffset = Math.max(nextOffset + 1, forgotten.first().orElse(0));
        }
        firstRetainedOffset = forgotten.first().orElse(Long.MAX_VALUE);
        timer.reschedule(
                this::start,
                consecutiveTruncations == 0 ? 0 : Math.max(gapMillis(), backoffMillis(consecutiveTruncations - 1)));
        consecutiveTruncations++;
    }

    /** Returns the back-off after this many consecutive failures, in ms. */
    private static long backoffMillis(int failures) {
        return Math.min(MAX_BACKOFF_MILLIS, MIN_BACKOFF_MILLIS << Math.min(failures, MAX_BACKOFF_DOUBLINGS));
    }

    private long gapMillis() {
        return intervals.gapMillis().applyAsLong(state.fleet().livePeerCount(state.nowMillis()));
    }

    /**
     * Handles the read offset of a peer. If the peer has read a record that was not read here, the next poll is brought
     * forward. A poll that has been pending for longer than an answer takes is on an unresponsive connection, and is
     * repeated on a new one.
     *
     * <p>Only the gap between two polls is shortened, since every peer reports its offset many times a second. If
     * reports also cut the back-off after a failure short, a store that refuses this relay would get a call for each
     * report. If they replaced a pending listing, the relay would poll discarded records again and again, and would
     * never receive a newer configuration.
     */
    public void onPeerOffset(long peerOffset) {
        if (timer.isClosed() || peerOffset <= nextOffset || !answeredOnce) {
            return;
        }
        if (betweenPolls) {
            long now = state.nowMillis();
            long wanted = PollIntervals.hintedGapMillis(state.fleet().livePeerCount(now));
            timer.reschedule(this::poll, Math.max(0, Math.min(nextPollAt, answeredAt + wanted) - now));
        } else if (polling && state.nowMillis() - polledAt > STALLED_READ_MILLIS) {
            state.log()
                    .warn(
                            "store_connection_silent",
                            "topic",
                            topic.name(),
                            "from",
                            Long.toString(nextOffset),
                            "others_read",
                            Long.toString(peerOffset));
            pollNow();
        }
    }

    /** Polls at once if a poll is scheduled or pending; a pending back-off or listing is left as it is. */
    public void pollNow() {
        if (betweenPolls) {
            timer.reschedule(this::poll, 0);
        } else if (polling) {
            client.close();
            poll();
        }
    }

    /**
     * Polls at once, and with short waits until a record arrives, since the store has indicated an unread record. A
     * long poll that began while the record was being written may not return it before its wait is over, and the write
     * may still be in progress. Otherwise two relays that lost a race for the lease would wait 12 s for the winner's
     * record, and no engine would get new weights in the meantime.
     */
    public void expectRecord() {
        expectingUntil = state.nowMillis() + MAX_EXPECTATION_MILLIS;
        pollNow();
    }

    /** Cancels the pending call and lists again, after the store's address has changed. */
    public void reconnect() {
        client.close();
        polling = false;
        timer.reschedule(this::start, 0);
    }

    private void onListing(StoreResponse.Listing listing) {
        // Pages aren't a snapshot: records written between pages have offsets after the first page's end.
        listingEnd = listingEnd < 0 ? listing.end() : Math.min(listingEnd, listing.end());
        String last = "";
        for (KeyedRecord record : listing.records()) {
            listedKeys.add(record.key());
            deliver(record, listener::onListedRecord);
            last = record.key();
        }
        if (listing.morePages() && !last.isEmpty()) {
            list(Optional.of(last));
            return;
        }
        // A listing that ends before the read offset is stale: a key that is missing from it may still exist.
        if (listingEnd >= nextOffset) {
            listener.onListed(Set.copyOf(listedKeys), listingEnd);
            nextOffset =
                    reading == InitialRead.NEWEST_AND_KEPT ? Math.min(firstRetainedOffset, listingEnd) : listingEnd;
        }
        state.log()
                .info(
                        "topic_listed",
                        "topic",
                        topic.name(),
                        "keys",
                        Integer.toString(listedKeys.size()),
                        "end",
                        Long.toString(listingEnd));
        poll();
    }

    /** Passes a record to the handler, and returns whether it was well-formed. */
    private boolean deliver(KeyedRecord record, Consumer<KeyedRecord> handler) {
        try {
            if (isKeyed() && record.key().isEmpty()) {
                throw new IllegalArgumentException("no key");
            }
            handler.accept(record);
            return true;
        } catch (IllegalArgumentException unreadable) {
            state.metrics().recordUnreadable(topic.name());
            state.log()
                    .warn(
                            "record_unreadable",
                            "topic",
                            topic.name(),
                            "key",
                            record.key(),
                            "offset",
                            Long.toString(record.offset()),
                            "reason",
                            String.valueOf(unreadable.getMessage()));
            return false;
        }
    }

    private void onSuccess() {
        consecutiveFailures = 0;
        if (!available || !answeredOnce) {
            state.log().info("store_regained", "topic", topic.name());
        }
        available = true;
        answeredOnce = true;
        listener.onAvailable();
    }

    private void onFailure(String reason) {
        if (available) {
            state.log().warn("store_lost", "topic", topic.name(), "reason", reason);
        }
        available = false;
        listener.onUnavailable();
        long pause = backoffMillis(consecutiveFailures);
        consecutiveFailures++;
        timer.reschedule(answeredOnce && (!isKeyed() || listingEnd >= 0) ? this::poll : this::start, pause);
    }

    /** Returns the offset up to which the topic has been read. */
    public long readOffset() {
        return nextOffset;
    }

    @Override
    public void close() {
        timer.close();
        client.close();
    }
}
