package org.rattanrudder.daemon.relay.store;

import java.util.Optional;
import java.util.Set;
import org.rattanrudder.core.time.Moment;
import org.rattanrudder.core.topics.ReadFreshness;
import org.rattanrudder.daemon.relay.net.StepTimer;
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
    /** Time in which a poll is answered once its wait is over. */
    private static final long ANSWER_MILLIS = 300;

    /** Shorter waits would make the calls too many under a bound that can't be kept. */
    private static final long MIN_WAIT_MILLIS = 100;

    /** How often in a row a topic is listed again for records that it failed to handle. */
    private static final int MAX_REPEATED_LISTINGS = 3;

    private final RelayState state;
    private final StepTimer timer;
    private final Topic topic;
    private final TopicListener listener;
    private final TopicReader reader;
    private final TopicPosition position;
    private final PollSchedule schedule;
    private final RecordDelivery delivery;
    private final StoreAvailability availability;
    private int consecutiveTruncations;
    private int repeatedListings;
    private final ReadFreshness freshness;
    private boolean betweenPolls;
    private Moment askedAt = new Moment(0, 0);

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
            RelayState state, Topic topic, PollIntervals intervals, InitialRead reading, TopicListener listener) {
        this(state, topic, intervals, reading, listener, new ReadFreshness(state.atMostMillis()));
    }

    /**
     * Creates a follower that is idle until {@link #start}.
     *
     * @param freshness is told up to when the topic is known to have been read
     */
    TopicFollower(
            RelayState state,
            Topic topic,
            PollIntervals intervals,
            InitialRead reading,
            TopicListener listener,
            ReadFreshness freshness) {
        this.state = state;
        timer = new StepTimer(state.loop());
        this.topic = topic;
        this.listener = listener;
        reader = new TopicReader(state, topic);
        position = new TopicPosition(reading);
        schedule = new PollSchedule(intervals, state.fleet()::livePeerCount);
        delivery = new RecordDelivery(state, topic, position.isKeyed(), listener);
        availability = new StoreAvailability(state.log(), topic, listener);
        this.freshness = freshness;
    }

    /** Starts to read the topic, from the beginning of what is read initially. */
    public void start() {
        betweenPolls = false;
        askedAt = state.clock().now();
        if (position.isKeyed()) {
            position.beginListing();
            reader.list(Optional.empty(), this::onResult);
        } else {
            poll();
        }
    }

    private void poll() {
        if (reader.isBusy()) {
            return;
        }
        betweenPolls = false;
        askedAt = state.clock().now();
        schedule.onPoll(askedAt.atLeastMillis());
        // Without records, an answer that shows that the store is available again would come only after the full wait.
        long wait = availability.isAnswering() ? Math.min(schedule.waitMillis(), maxWaitMillis()) : 0;
        reader.poll(position.nextOffset(), wait, this::onResult);
    }

    /** An answer with records shows only what existed when it was asked for, which may be a whole wait ago. */
    private long maxWaitMillis() {
        return Math.max(MIN_WAIT_MILLIS, listener.maxUnreadMillis() - ANSWER_MILLIS - unreadMillis());
    }

    /** Handles a result; if that fails, the call is retried, since nothing else would read the topic on. */
    private void onResult(TopicReader.Result result) {
        try {
            handle(result);
        } catch (RuntimeException failed) {
            state.log().warn("read_failed", "topic", topic.name(), "cause", failed.toString());
            onFailure("unexpected", false);
        }
    }

    private void handle(TopicReader.Result result) {
        if (result instanceof TopicReader.Result.Failed failed) {
            onFailure(failed.reason(), failed.unreadable());
        } else if (result instanceof TopicReader.Result.Read read) {
            availability.onSuccess();
            handleAnswer(read);
        }
    }

    /** Records that can't be read, or are too many to be read at once, are passed over by a listing. */
    private void onFailure(String reason, boolean unreadable) {
        long pause = availability.onFailure(reason);
        boolean pollable = availability.hasAnswered() && (!position.isKeyed() || position.hasListed() && !unreadable);
        timer.reschedule(pollable ? this::poll : this::start, pause);
    }

    private void handleAnswer(TopicReader.Result.Read read) {
        if (read.response() instanceof StoreResponse.Listing listing) {
            onListing(listing);
        } else if (read.response() instanceof StoreResponse.Records records) {
            askedAt = read.askedAt();
            onRecords(records, read.waitMillis());
        } else if (read.response() instanceof StoreResponse.Forgotten forgotten) {
            onTruncated(forgotten);
        }
    }

    private void onListing(StoreResponse.Listing page) {
        Optional<String> last = position.addPage(page);
        listener.onRecordsRead(askedAt, unreadMillis());
        delivery.deliverListed(page.records());
        if (last.isPresent()) {
            reader.list(last, this::onResult);
            return;
        }
        if (listsAgain()) {
            return;
        }
        Set<String> keys = position.listedKeys();
        if (position.isListingCurrent()) {
            listener.onListed(keys, position.listingEnd());
            position.applyListing();
            freshness.onReadToEnd(askedAt.atMostMillis());
            listener.onReadToEnd(askedAt);
        }
        state.log()
                .info(
                        "topic_listed",
                        "topic",
                        topic.name(),
                        "keys",
                        Integer.toString(keys.size()),
                        "end",
                        Long.toString(position.listingEnd()),
                        "read",
                        Long.toString(position.nextOffset()),
                        "asked_ms",
                        Long.toString(state.atMostMillis() - askedAt.atMostMillis()));
        poll();
    }

    private void onRecords(StoreResponse.Records records, long waitMillis) {
        consecutiveTruncations = 0;
        position.advanceTo(records.next());
        if (!records.records().isEmpty()) {
            schedule.onRecordsFound();
        }
        listener.onRecordsRead(askedAt, unreadMillis());
        delivery.deliver(records.records());
        if (listsAgain()) {
            return;
        }
        if (records.next() >= records.end()) {
            onReadToEnd(records.records().isEmpty(), waitMillis);
        }
        if (records.next() > records.end()) {
            listener.onStoreBehind();
        }
        betweenPolls = true;
        timer.reschedule(this::poll, schedule.onAnswered(state.nowMillis()));
    }

    /**
     * Lists the topic again, after a delay, if a record has failed unexpectedly: until it is handled, what operators
     * want may not be in force. A record that keeps failing is passed over, so that the others are read on.
     *
     * @return whether it is listed again
     */
    private boolean listsAgain() {
        boolean failed = delivery.hasFailed();
        delivery.forgetFailures();
        if (!failed || !position.isReadByListing() || repeatedListings == MAX_REPEATED_LISTINGS) {
            repeatedListings = 0;
            return false;
        }
        timer.reschedule(this::start, BackOff.millis(repeatedListings));
        repeatedListings++;
        return true;
    }

    private void onReadToEnd(boolean empty, long waitMillis) {
        if (empty) {
            freshness.onEmptyPoll(askedAt, waitMillis, state.clock().now());
        } else {
            freshness.onReadToEnd(askedAt.atMostMillis());
        }
        listener.onReadToEnd(askedAt);
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
                        Long.toString(position.nextOffset()),
                        "first",
                        forgotten.first().isPresent()
                                ? Long.toString(forgotten.first().getAsLong())
                                : "unknown",
                        "in_a_row",
                        Integer.toString(consecutiveTruncations + 1));
        position.onForgotten(forgotten.first());
        timer.reschedule(this::start, truncationPauseMillis());
        consecutiveTruncations++;
    }

    private long truncationPauseMillis() {
        return consecutiveTruncations == 0
                ? 0
                : Math.max(schedule.gapMillis(state.nowMillis()), BackOff.millis(consecutiveTruncations - 1));
    }

    /**
     * Handles the read offset of a peer. If the peer has read a record that was not read here, the next poll is brought
     * forward. A poll that has been pending for longer than an answer takes is on an unresponsive connection, and is
     * repeated on a new one; the pending one is not given up, since the new connection may fall silent as well.
     *
     * <p>Only the gap between two polls is shortened, since every peer reports its offset many times a second. If
     * reports also cut the back-off after a failure short, a store that refuses this relay would get a call for each
     * report. If they replaced a pending listing, the relay would poll discarded records again and again, and would
     * never receive a newer configuration.
     */
    public void onPeerOffset(long peerOffset) {
        if (timer.isClosed() || peerOffset <= position.nextOffset() || !availability.hasAnswered()) {
            return;
        }
        if (betweenPolls) {
            timer.reschedule(this::poll, schedule.hintedDelayMillis(state.nowMillis()));
        } else if (reader.isPolling() && !reader.isRepeated() && schedule.isStalled(state.nowMillis())) {
            state.log()
                    .warn(
                            "store_connection_silent",
                            "topic",
                            topic.name(),
                            "from",
                            Long.toString(position.nextOffset()),
                            "others_read",
                            Long.toString(peerOffset));
            reader.repeatNow();
        }
    }

    /** Polls at once if a poll is scheduled or pending; a pending back-off or listing is left as it is. */
    public void pollNow() {
        if (betweenPolls) {
            timer.reschedule(this::poll, 0);
        } else if (reader.isPolling()) {
            reader.cancel();
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
        schedule.expectRecord(state.nowMillis());
        pollNow();
    }

    /** Cancels the pending call and lists again, after the store's address has changed. */
    public void reconnect() {
        reader.cancel();
        timer.reschedule(this::start, 0);
    }

    /** Returns the offset up to which the topic has been read. */
    public long readOffset() {
        return position.nextOffset();
    }

    /** Returns for how long records may exist that were not read, in ms. */
    public long unreadMillis() {
        return freshness.ageMillis(state.atMostMillis());
    }

    @Override
    public void close() {
        timer.close();
        reader.close();
    }
}
