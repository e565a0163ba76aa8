package org.rattanrudder.daemon.relay.store;

import java.util.Optional;
import java.util.Set;
import org.rattanrudder.core.time.Moment;
import org.rattanrudder.core.topics.LogEra;
import org.rattanrudder.core.topics.LogPosition;
import org.rattanrudder.core.topics.ReadFreshness;
import org.rattanrudder.daemon.relay.net.HttpCallClient;
import org.rattanrudder.daemon.relay.net.StepTimer;
import org.rattanrudder.daemon.relay.port.StoreDialect.Topic;
import org.rattanrudder.daemon.relay.port.StoreResponse;
import org.rattanrudder.daemon.relay.process.RelayState;
import org.rattanrudder.daemon.relay.process.StoreEra;

/**
 * Consumes a topic of the platform's store: first lists the newest record of each key, then polls for new records.
 *
 * <p>If the store has discarded records before they were read, the newest ones are listed again. If the store is
 * unavailable, calls are retried with exponential back-off; the listener is called when the store becomes unavailable
 * and when it is available again.
 *
 * <p>No read waits at the store for a record: such reads of many relays would take up the calls that a store serves at
 * a time, and urgent ones would queue behind them.
 */
public final class TopicFollower implements AutoCloseable {
    /** How often in a row a topic is listed again for records that it failed to handle. */
    private static final int MAX_REPEATED_LISTINGS = 3;

    /** Time in which relays begin to read a topic anew, in ms. */
    private static final long NEW_ERA_SPREAD_MILLIS = 200;

    private final RelayState state;
    private final StepTimer timer;
    private final Topic topic;
    private final TopicListener listener;
    private final TopicReader reader;
    private final TopicPosition position;
    private final PollSchedule schedule;
    private final RecordDelivery delivery;
    private final StoreAvailability availability;
    private final ListingChoice choice = new ListingChoice();
    private final BackOff backOff;
    private int consecutiveTruncations;
    private int repeatedListings;
    private final ReadFreshness freshness;
    private boolean started;
    private boolean betweenPolls;

    /** Whether the current listing, or the last one, is in place of a poll. */
    private boolean listedToReadOn;

    private Moment askedAt = new Moment(0, 0);

    /** Whether nothing that was written before can be missing from the last answer, or the pages of its listing. */
    private boolean isProof;

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
        reader = new TopicReader(state, topic, intervals.maxCalls());
        position = new TopicPosition(reading);
        schedule = new PollSchedule(intervals, state.fleet()::livePeerCount, state.random()::nextDouble);
        delivery = new RecordDelivery(state, topic, position.isKeyed(), listener);
        backOff = new BackOff(intervals.maxBackOffMillis(), state.random()::nextDouble);
        availability = new StoreAvailability(state.log(), topic, backOff, listener);
        this.freshness = freshness;
        state.storeEra().addListener(this::onNewEra);
    }

    /** Starts to read the topic, from the beginning of what is read initially. */
    public void start() {
        readFromListing(false);
    }

    private void readFromListing(boolean readsOn) {
        started = true;
        listedToReadOn = readsOn;
        betweenPolls = false;
        askedAt = state.clock().now();
        if (position.isKeyed()) {
            position.beginListing();
            choice.onListing();
            isProof = true;
            reader.list(Optional.empty(), this::onResult);
        } else {
            poll();
        }
    }

    private void readOn() {
        if (listener.needsOnlyNewest() && choice.isListedAt(position.next())) {
            readFromListing(true);
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
        long maxBytes = listener.needsOnlyNewest() ? choice.maxPolledBytes(reader.listedBytes()) : Long.MAX_VALUE;
        reader.poll(position.next(), maxBytes, this::onResult);
    }

    /** Handles a result; if that fails, the call is retried, since nothing else would read the topic on. */
    private void onResult(TopicReader.Result result) {
        try {
            handle(result);
        } catch (RuntimeException | StackOverflowError failed) {
            state.log().warn("read_failed", "topic", topic.name(), "cause", failed.toString());
            onFailure("unexpected", false);
        }
    }

    private void handle(TopicReader.Result result) {
        if (result instanceof TopicReader.Result.Failed failed
                && failed.reason().equals(StoreEra.NEW_ERA)) {
            // The topic is read anew already.
            return;
        }
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
        if (reason.equals(HttpCallClient.UNFINISHED)) {
            choice.onPollUnfinished();
        }
        boolean pollable = availability.hasAnswered() && (!position.isKeyed() || position.hasListed() && !unreadable);
        timer.reschedule(pollable ? this::readOn : this::start, pause);
    }

    private void handleAnswer(TopicReader.Result.Read read) {
        if (read.response() instanceof StoreResponse.Listing listing) {
            isProof &= read.isProof();
            onListing(listing);
        } else if (read.response() instanceof StoreResponse.Records records) {
            askedAt = read.askedAt();
            isProof = read.isProof();
            onRecords(records);
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
        boolean isOlderVersionNeeded = listedToReadOn && delivery.hasMalformed();
        if (listsAgain()) {
            return;
        }
        Set<String> keys = position.listedKeys();
        boolean advances = position.listingEnd().isAfter(position.next());
        if (isOlderVersionNeeded) {
            choice.barListing();
        } else if (position.isListingCurrent()) {
            listener.onListed(keys, position.listingEnd());
            position.applyListing();
            delivery.onListed(keys);
            onReadToEnd();
        }
        state.log()
                .info(
                        "topic_listed",
                        "topic",
                        topic.name(),
                        "keys",
                        Integer.toString(keys.size()),
                        "end",
                        position.listingEnd().toString(),
                        "read",
                        position.next().toString(),
                        "asked_ms",
                        Long.toString(state.atMostMillis() - askedAt.atMostMillis()));
        if (advances) {
            readOn();
        } else {
            poll();
        }
    }

    private void onRecords(StoreResponse.Records records) {
        consecutiveTruncations = 0;
        position.advanceTo(records.next());
        choice.onPolled();
        if (!records.records().isEmpty()) {
            choice.onRecordsRead(state.nowMillis() - askedAt.atLeastMillis());
            schedule.onRecordsFound();
        }
        listener.onRecordsRead(askedAt, unreadMillis());
        delivery.deliver(records.records());
        if (listsAgain()) {
            return;
        }
        if (!records.next().isBefore(records.end())) {
            onReadToEnd();
        }
        if (records.next().isAfter(records.end())) {
            listener.onStoreBehind();
        }
        betweenPolls = true;
        long now = state.nowMillis();
        boolean isPart = !records.records().isEmpty() && records.next().isBefore(records.end());
        timer.reschedule(
                this::readOn,
                isPart ? schedule.onPartAnswered(now) : schedule.onAnswered(askedAt.atLeastMillis(), now));
    }

    /** A record that couldn't be handled isn't in force, however new the read is that brought it. */
    private void onReadToEnd() {
        if (isProof && !delivery.hasUnhandledRecords()) {
            freshness.onReadToEnd(askedAt.atMostMillis());
        }
        if (isProof) {
            listener.onCurrent(askedAt);
        }
        listener.onReadToEnd(askedAt);
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
        timer.reschedule(this::start, backOff.millis(repeatedListings));
        repeatedListings++;
        return true;
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
                        position.next().toString(),
                        "first",
                        forgotten.first().isPresent()
                                ? Long.toString(forgotten.first().getAsLong())
                                : "unknown",
                        "in_a_row",
                        Integer.toString(consecutiveTruncations + 1));
        if (!position.isKeyed() && position.isBeyondEnd(forgotten.first())) {
            // It has come back from a copy and names no era.
            listener.onNewEra();
        }
        position.onForgotten(forgotten.first());
        timer.reschedule(this::start, truncationPauseMillis());
        consecutiveTruncations++;
    }

    private long truncationPauseMillis() {
        return consecutiveTruncations == 0 ? 0 : backOff.millis(consecutiveTruncations - 1);
    }

    /**
     * Handles up to where a peer has read. If the peer has read a record that was not read here, the next poll is
     * brought forward.
     *
     * <p>Only the time between two polls is shortened, since every peer reports its position many times a second. If
     * reports also cut the back-off after a failure short, a store that refuses this relay would get a call for each
     * report. If they replaced a pending listing, the relay would poll discarded records again and again, and would
     * never receive a newer configuration.
     */
    public void onPeerPosition(LogPosition peerPosition) {
        choice.onPeerPosition(peerPosition);
        if (betweenPolls && peerPosition.isAfter(position.next())) {
            timer.reschedule(this::readOn, schedule.onHint(state.nowMillis()));
        }
    }

    /** Polls at once if a poll is scheduled; a pending poll, back-off or listing is left as it is. */
    public void pollNow() {
        pollWithin(0);
    }

    /** Brings the next poll forward if one is scheduled, to so many ms after the last one at the latest. */
    public void pollWithin(long millis) {
        if (betweenPolls) {
            timer.reschedule(this::readOn, schedule.pollWithin(millis, state.nowMillis()));
        }
    }

    /**
     * Polls at once, and often until a record arrives, since the store has indicated an unread record; its write may
     * still be in progress. Otherwise two relays that lost a race for the lease would learn of the winner's record by
     * the next usual poll, and no engine would get new weights in the meantime.
     */
    public void expectRecord() {
        schedule.expectRecord(state.nowMillis());
        pollNow();
    }

    /**
     * Reads the topic anew, since the store has come back from a copy: what was read may be gone, and other records may
     * be where it was. Relays don't do so at the same moment.
     */
    private void onNewEra() {
        position.beginEra(state.storeEra().current());
        consecutiveTruncations = 0;
        repeatedListings = 0;
        betweenPolls = false;
        listener.onNewEra();
        if (started && !timer.isClosed()) {
            reader.cancel();
            long spread = Math.round(NEW_ERA_SPREAD_MILLIS * state.random().nextDouble());
            timer.reschedule(this::start, spread);
            timer.later(this::pollNow, LogEra.REWRITE_MILLIS + spread);
        }
    }

    /** Cancels the pending call and lists again, after the store's address has changed. */
    public void reconnect() {
        reader.cancel();
        timer.reschedule(this::start, 0);
    }

    /** Returns up to where the topic has been read. */
    public LogPosition readPosition() {
        return position.next();
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
