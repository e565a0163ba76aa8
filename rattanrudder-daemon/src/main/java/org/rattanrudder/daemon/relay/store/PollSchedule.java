package org.rattanrudder.daemon.relay.store;

import java.util.function.LongToIntFunction;

/** Decides when a topic is polled next, and how long a poll waits for records. All times are in ms. */
final class PollSchedule {
    /** A read pending for longer than this is treated as stalled once a peer has reported a newer record. */
    private static final long STALLED_READ_MILLIS = 600;

    /** The wait of a long poll while a record is known to be due: such a poll is usually answered at once. */
    private static final long EXPECTED_RECORD_WAIT_MILLIS = 200;

    /** How long a record is expected: an append that got no answer may have written nothing. */
    private static final long MAX_EXPECTATION_MILLIS = 5_000;

    private final PollIntervals intervals;
    private final LongToIntFunction livePeers;
    private long polledAt;
    private long answeredAt;
    private long nextPollAt;

    /** Time until which an unread record is expected to exist. */
    private long expectingUntil = Long.MIN_VALUE / 2;

    /**
     * Creates the schedule of a topic that hasn't been polled.
     *
     * @param livePeers returns the number of live peers at a time
     */
    PollSchedule(PollIntervals intervals, LongToIntFunction livePeers) {
        this.intervals = intervals;
        this.livePeers = livePeers;
    }

    /** Records that a poll begins. */
    void onPoll(long now) {
        polledAt = now;
    }

    /** Returns how long the poll that begins waits for records. */
    long waitMillis() {
        long usual = intervals.waitMillis().applyAsLong(livePeers.applyAsInt(polledAt));
        return polledAt < expectingUntil ? Math.min(usual, EXPECTED_RECORD_WAIT_MILLIS) : usual;
    }

    /** Records that the last poll has returned records, so that none is expected any more. */
    void onRecordsFound() {
        expectingUntil = polledAt;
    }

    /** Records that the last poll was answered; returns the time until the next one. */
    long onAnswered(long now) {
        answeredAt = now;
        long gap = gapMillis(now);
        nextPollAt = answeredAt + gap;
        return gap;
    }

    /** Returns the usual time between an answer and the next call. */
    long gapMillis(long now) {
        return intervals.gapMillis().applyAsLong(livePeers.applyAsInt(now));
    }

    /** Returns the time until the next poll, now that a peer has read a record that was not read here. */
    long hintedDelayMillis(long now) {
        long wanted = PollIntervals.hintedGapMillis(livePeers.applyAsInt(now));
        return Math.max(0, Math.min(nextPollAt, answeredAt + wanted) - now);
    }

    /** Returns whether the poll in flight has been pending for longer than an answer takes. */
    boolean isStalled(long now) {
        return now - polledAt > STALLED_READ_MILLIS;
    }

    /** Records that the store has indicated an unread record. */
    void expectRecord(long now) {
        expectingUntil = now + MAX_EXPECTATION_MILLIS;
    }
}
