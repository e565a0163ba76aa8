package org.rattanrudder.daemon.relay.store;

import java.util.function.DoubleSupplier;
import java.util.function.LongToIntFunction;

/** Decides when a topic is polled next. All times are in ms. */
final class PollSchedule {
    /** The interval while a record is known to be due: it is usually there at the first poll. */
    private static final long EXPECTED_RECORD_INTERVAL_MILLIS = 150;

    /** How long a record is expected: an append that got no answer may have written nothing. */
    private static final long MAX_EXPECTATION_MILLIS = 5_000;

    /** Minimum time between an answer and the next poll, so that a slow store isn't polled without end. */
    private static final long MIN_GAP_MILLIS = 20;

    /** The shortest part of the interval after a poll that was brought forward. */
    private static final double MIN_SPREAD_SHARE = 0.5;

    /** Minimum time between an answer and the next poll if a peer's word has led to a poll that found no record. */
    private static final long VAIN_HINT_GAP_MILLIS = 1_000;

    private final PollIntervals intervals;
    private final LongToIntFunction livePeers;
    private final DoubleSupplier random;
    /** When the last poll began. */
    private long polledAt;

    /** When the last answer came. */
    private long answeredAt;

    private long nextPollAt;

    private boolean spreadNextInterval = true;
    private boolean hinted;
    private boolean hintedInVain;

    /** Time until which an unread record is expected to exist. */
    private long expectingUntil = Long.MIN_VALUE / 2;

    /**
     * Creates the schedule of a topic that hasn't been polled.
     *
     * @param livePeers returns the number of live peers at a time
     * @param random returns random numbers from 0 to 1
     */
    PollSchedule(PollIntervals intervals, LongToIntFunction livePeers, DoubleSupplier random) {
        this.intervals = intervals;
        this.livePeers = livePeers;
        this.random = random;
    }

    /** Records that a poll begins. */
    void onPoll(long now) {
        polledAt = now;
    }

    /** Records that the last poll has returned records, so that none is expected any more. */
    void onRecordsFound() {
        expectingUntil = polledAt;
        hinted = false;
        hintedInVain = false;
    }

    /**
     * Records that the last poll was answered; returns the time until the next one.
     *
     * @param askedAt when the answer was asked for
     */
    long onAnswered(long askedAt, long now) {
        answeredAt = now;
        hintedInVain |= hinted;
        hinted = false;
        nextPollAt = Math.max(now + MIN_GAP_MILLIS, askedAt + nextIntervalMillis(now));
        spreadNextInterval = false;
        return nextPollAt - now;
    }

    /** Records that the last answer held a part of the records only; returns the time until the rest is polled for. */
    long onPartAnswered(long now) {
        answeredAt = now;
        nextPollAt = now + MIN_GAP_MILLIS;
        return MIN_GAP_MILLIS;
    }

    /** Relays that have started together, or were told of a record together, don't poll together from then on. */
    private long nextIntervalMillis(long now) {
        long usual = intervalMillis(now);
        if (now < expectingUntil) {
            return Math.min(usual, EXPECTED_RECORD_INTERVAL_MILLIS);
        }
        double share = spreadNextInterval ? MIN_SPREAD_SHARE + (1 - MIN_SPREAD_SHARE) * random.getAsDouble() : 1;
        return Math.round(share * usual);
    }

    /** Returns the usual time from a poll to the next one. */
    long intervalMillis(long now) {
        return intervals.intervalMillis().applyAsLong(livePeers.applyAsInt(now));
    }

    /**
     * Brings the next poll forward, as a peer has read a record that was not read here; returns the time until it. A
     * peer may be ahead for good, since the store has lost records; then its word leads to few polls.
     */
    long onHint(long now) {
        long wanted = PollIntervals.hintedGapMillis(livePeers.applyAsInt(now));
        long gap = hintedInVain ? Math.max(wanted, VAIN_HINT_GAP_MILLIS) : wanted;
        spreadNextInterval = !hintedInVain;
        hinted = true;
        nextPollAt = Math.min(nextPollAt, answeredAt + gap);
        return Math.max(0, nextPollAt - now);
    }

    /** Brings the next poll forward, to so long after the last one at the latest; returns the time until it. */
    long pollWithin(long millis, long now) {
        nextPollAt = Math.min(nextPollAt, polledAt + millis);
        return Math.max(0, nextPollAt - now);
    }

    /** Records that the store has indicated an unread record. */
    void expectRecord(long now) {
        expectingUntil = now + MAX_EXPECTATION_MILLIS;
    }
}
