package org.rattanrudder.daemon.relay;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.rattanrudder.daemon.relay.port.KeyedRecord;
import org.rattanrudder.daemon.relay.port.PlatformCall;
import org.rattanrudder.daemon.relay.port.StoreDialect;
import org.rattanrudder.daemon.relay.port.StoreDialect.Topic;
import org.rattanrudder.daemon.relay.port.StoreResponse;

/**
 * Follows a topic of the platform's store: first the newest record of each key, then all that is added.
 *
 * <p>When records were dropped before they were read, it lists the newest ones again. When the store doesn't answer, it
 * asks again, less and less often, and tells its listener when answers cease and return.
 */
final class TopicFollower implements AutoCloseable {
    /** How long a listing may take, in ms. */
    private static final long LISTING_MILLIS = 1_000;

    /** What an answer may take beyond the wait, in ms: a slow store takes some 250 ms. */
    private static final long SLACK_MILLIS = 700;

    /** How long an answer may be missing that another relay has got, in ms. */
    private static final long HINT_MILLIS = 600;

    /** How long a read waits that is known to have something to read, in ms: it is answered at once as a rule. */
    private static final long EXPECTING_MILLIS = 200;

    /** For how long that is believed, in ms: an append without an answer may have written nothing. */
    private static final long EXPECTED_WITHIN_MILLIS = 5_000;

    private static final long FIRST_PAUSE_MILLIS = 50;
    private static final long LONGEST_PAUSE_MILLIS = 800;

    /** Doublings after which the longest pause is reached in any case. */
    private static final int LARGEST_DOUBLING = 5;

    /** What a topic's records mean to the relay. */
    interface Listener {
        /**
         * Takes a record.
         *
         * @throws IllegalArgumentException if it can't be read
         */
        void record(KeyedRecord record);

        /**
         * Takes a record that a listing has, which may be old.
         *
         * @throws IllegalArgumentException if it can't be read
         */
        default void listedRecord(KeyedRecord record) {
            record(record);
        }

        /** Returns whether of several records of a key only the last readable one matters, in any order of keys. */
        default boolean newestSuffices() {
            return false;
        }

        /** Takes the keys of a full listing. */
        default void listed(Set<String> keys, long end) {}

        /** The store answers. */
        default void answered() {}

        /** The store doesn't answer, or refuses. */
        default void lost() {}
    }

    private final RelayState state;
    private final StepTimer timer;
    private final Topic topic;
    private final Pace pace;
    private final Listener listener;
    private final StoreDialect dialect;
    private final CallLine line;
    private final Set<String> listedKeys = new HashSet<>();
    private final Reading reading;
    private long from;
    private long keptFrom;
    private long listingEnd = -1;
    private boolean answering = true;
    private boolean answeredOnce;
    private int failuresInARow;
    private int forgottenInARow;
    private long calledAt;
    private boolean following;
    private boolean inGap;
    private long answeredAt;
    private long gapEndsAt;

    /** Until when a record is taken to be there that wasn't read yet. */
    private long expectingUntil = Long.MIN_VALUE / 2;

    /** What of a topic is read at first; then follows what is added. */
    enum Reading {
        /** The newest record of each key. */
        NEWEST,
        /** All records that are kept, of a topic without keys. */
        KEPT,
        /** The newest record of each key, then all records that are kept. */
        NEWEST_AND_KEPT
    }

    /** Makes a follower; it begins with {@link #start}. */
    TopicFollower(RelayState state, Topic topic, Pace pace, Reading reading, Listener listener) {
        this.state = state;
        timer = new StepTimer(state.loop());
        this.topic = topic;
        this.pace = pace;
        this.reading = reading;
        this.listener = listener;
        dialect = state.platform().store();
        line = new CallLine(state.connector(), state::store);
    }

    void start() {
        inGap = false;
        if (isKeyed()) {
            list(Optional.empty());
        } else {
            follow();
        }
    }

    private boolean isKeyed() {
        return reading != Reading.KEPT;
    }

    private void list(Optional<String> after) {
        if (after.isEmpty()) {
            listedKeys.clear();
            listingEnd = -1;
        }
        PlatformCall call = dialect.list(topic, after);
        line.call(call, LISTING_MILLIS, answer -> take(answer, (status, body) -> dialect.readListing(status, body)));
    }

    private void follow() {
        if (line.isBusy()) {
            return;
        }
        inGap = false;
        following = true;
        long asked = from;
        calledAt = state.nowMillis();
        long wait = waitMillis();
        line.call(
                dialect.poll(topic, asked, wait),
                wait + SLACK_MILLIS,
                answer -> take(answer, (status, body) -> dialect.readRecords(topic, asked, status, body)));
    }

    private long waitMillis() {
        if (!answeredOnce) {
            // In a topic without records the answer would come when the wait is over.
            return 0;
        }
        long usual = pace.waitMillis().applyAsLong(state.fleet().livePeerCount(calledAt));
        return calledAt < expectingUntil ? Math.min(usual, EXPECTING_MILLIS) : usual;
    }

    /** Reads the body of an answer. */
    private interface Reader {
        StoreResponse read(int status, byte[] body);
    }

    private void take(CallAnswer answer, Reader reader) {
        following = false;
        if (timer.isClosed()) {
            return;
        }
        state.metrics().storeCall(topic.name());
        if (answer instanceof CallAnswer.Unanswered unanswered) {
            failed(unanswered.reason());
            return;
        }
        CallAnswer.Answered answered = (CallAnswer.Answered) answer;
        StoreResponse read;
        try {
            read = reader.read(answered.status(), answered.body());
        } catch (IllegalArgumentException malformed) {
            failed("malformed: " + malformed.getMessage());
            return;
        }
        if (read instanceof StoreResponse.Failed failed) {
            failed("status " + failed.status());
            return;
        }
        works();
        proceed(read);
    }

    private void proceed(StoreResponse read) {
        if (read instanceof StoreResponse.Listing listing) {
            listing(listing);
        } else if (read instanceof StoreResponse.Records records) {
            forgottenInARow = 0;
            from = records.next();
            if (!records.records().isEmpty()) {
                expectingUntil = calledAt;
            }
            tellAll(records.records());
            inGap = true;
            answeredAt = state.nowMillis();
            long gap = gap();
            gapEndsAt = answeredAt + gap;
            timer.next(this::follow, gap);
        } else if (read instanceof StoreResponse.Forgotten forgotten) {
            forgotten(forgotten);
        }
    }

    private void tellAll(List<KeyedRecord> records) {
        if (listener.newestSuffices()) {
            tellNewest(records);
        } else {
            records.forEach(record -> tell(record, listener::record));
        }
    }

    /**
     * Tells of each key the last record that can be read. After a pause, or while changes come in quick succession, one
     * answer holds many of one key, and reading each in full would hold up requests.
     */
    private void tellNewest(List<KeyedRecord> records) {
        Set<String> told = new HashSet<>();
        for (int index = records.size() - 1; index >= 0; index--) {
            KeyedRecord record = records.get(index);
            if (!told.contains(record.key()) && tell(record, listener::record)) {
                told.add(record.key());
            }
        }
    }

    /**
     * Records were dropped before they were read. A store that goes on dropping what it has just listed would be asked
     * without end, fifty times a second by each relay; the time between two listings therefore doubles.
     */
    private void forgotten(StoreResponse.Forgotten forgotten) {
        state.log()
                .warn(
                        "records_forgotten",
                        "topic",
                        topic.name(),
                        "from",
                        Long.toString(from),
                        "first",
                        forgotten.first().isPresent()
                                ? Long.toString(forgotten.first().getAsLong())
                                : "unknown",
                        "in_a_row",
                        Integer.toString(forgottenInARow + 1));
        if (!isKeyed()) {
            // A topic without keys says nothing that is older than what it keeps.
            from = Math.max(from + 1, forgotten.first().orElse(0));
        }
        keptFrom = forgotten.first().orElse(Long.MAX_VALUE);
        timer.next(this::start, forgottenInARow == 0 ? 0 : Math.max(gap(), pause(forgottenInARow - 1)));
        forgottenInARow++;
    }

    /** Returns the pause after so many failures in a row, in ms. */
    private static long pause(int failures) {
        return Math.min(LONGEST_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << Math.min(failures, LARGEST_DOUBLING));
    }

    private long gap() {
        return pace.gapMillis().applyAsLong(state.fleet().livePeerCount(state.nowMillis()));
    }

    /**
     * Another relay has read a record that wasn't read here. The next call is made at once; one that is under way for
     * longer than an answer takes is on a connection that fell silent.
     *
     * <p>It shortens the gap between two reads and nothing else. Hints come many times a second from each of many
     * relays. When they also cut short the pause after a failure, a store that turned this machine away got a call for
     * each; and when they took the place of a listing that records had been forgotten for, the relay read what was
     * gone again and again, and never learnt of a newer configuration.
     */
    void hint(long readTo) {
        if (timer.isClosed() || readTo <= from || !answeredOnce) {
            return;
        }
        if (inGap) {
            long now = state.nowMillis();
            long wanted = Pace.hintedGapMillis(state.fleet().livePeerCount(now));
            timer.next(this::follow, Math.max(0, Math.min(gapEndsAt, answeredAt + wanted) - now));
        } else if (following && state.nowMillis() - calledAt > HINT_MILLIS) {
            state.log()
                    .warn(
                            "store_connection_silent",
                            "topic",
                            topic.name(),
                            "from",
                            Long.toString(from),
                            "others_read",
                            Long.toString(readTo));
            readInPlaceOfWaiting();
        }
    }

    /** Ends the gap between two reads, or a read that waits; what else is due is left alone. */
    private void readInPlaceOfWaiting() {
        if (inGap) {
            timer.next(this::follow, 0);
        } else if (following) {
            line.close();
            follow();
        }
    }

    /**
     * Reads at once, and again soon until a record comes: the store said that there is something which wasn't read. A
     * read that began to wait while it was written may not be answered for it before its wait is over, and it may
     * still be being written now. Two relays that had lost a race for the lease waited 12 s for the record that won
     * it, and no engine got new weights meanwhile.
     */
    void readNow() {
        expectingUntil = state.nowMillis() + EXPECTED_WITHIN_MILLIS;
        readInPlaceOfWaiting();
    }

    /** The store has another address: what waits for an answer at the old one is given up, and the newest is listed. */
    void reconnect() {
        line.close();
        following = false;
        timer.next(this::start, 0);
    }

    private void listing(StoreResponse.Listing listing) {
        // Pages are no snapshot: what changes meanwhile stands after the first page's end.
        listingEnd = listingEnd < 0 ? listing.end() : Math.min(listingEnd, listing.end());
        String last = "";
        for (KeyedRecord record : listing.records()) {
            listedKeys.add(record.key());
            tell(record, listener::listedRecord);
            last = record.key();
        }
        if (listing.morePages() && !last.isEmpty()) {
            list(Optional.of(last));
            return;
        }
        // A listing that ends before what was read already is a stale one: it proves nothing of what it lacks.
        if (listingEnd >= from) {
            listener.listed(Set.copyOf(listedKeys), listingEnd);
            from = reading == Reading.NEWEST_AND_KEPT ? Math.min(keptFrom, listingEnd) : listingEnd;
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
        follow();
    }

    /** Tells of a record, and returns whether it could be read. */
    private boolean tell(KeyedRecord record, Consumer<KeyedRecord> taker) {
        try {
            if (isKeyed() && record.key().isEmpty()) {
                throw new IllegalArgumentException("no key");
            }
            taker.accept(record);
            return true;
        } catch (IllegalArgumentException unreadable) {
            state.metrics().unreadable(topic.name());
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

    private void works() {
        failuresInARow = 0;
        if (!answering || !answeredOnce) {
            state.log().info("store_regained", "topic", topic.name());
        }
        answering = true;
        answeredOnce = true;
        listener.answered();
    }

    private void failed(String reason) {
        if (answering) {
            state.log().warn("store_lost", "topic", topic.name(), "reason", reason);
        }
        answering = false;
        listener.lost();
        long pause = pause(failuresInARow);
        failuresInARow++;
        timer.next(answeredOnce && (!isKeyed() || listingEnd >= 0) ? this::follow : this::start, pause);
    }

    /** Returns the offset up to which the topic was read. */
    long readTo() {
        return from;
    }

    @Override
    public void close() {
        timer.close();
        line.close();
    }
}
