package org.rattanrudder.core.topics;

import java.util.OptionalLong;

/**
 * When the calls of one client to the platform's store are repeated on a new connection.
 *
 * <p>A late answer on the connection of the first call shows that the store is slow and not that the connection is
 * silent. Repeats would only add to its load then, so the next call gets a single, later one, until an answer comes in
 * time again. All times are in ms.
 */
public final class RepeatSchedule {
    /** Time after the end of its wait from which the answer of a slow store is late. */
    static final long SLOW_ANSWER_MILLIS = 500;

    private boolean slow;

    /** Creates the schedule of a client that has made no call. */
    public RepeatSchedule() {}

    /**
     * Returns after which time a call is repeated, counted from when it was first made; empty if it isn't any more.
     *
     * @param calls how many times it was made
     * @param waitMillis how long the store waits for a record before it answers the first call
     */
    public OptionalLong repeatAfterMillis(int calls, long waitMillis) {
        if (!slow) {
            return RepeatPolicy.repeatAfterMillis(calls, waitMillis);
        }
        return calls == 1 ? OptionalLong.of(waitMillis + SLOW_ANSWER_MILLIS) : OptionalLong.empty();
    }

    /**
     * Handles an answer to the first call. One that comes before its wait is over brings a record, and doesn't show how
     * fast the store is.
     *
     * @param takenMillis the time from the call to its answer
     */
    public void onFirstCallAnswered(long takenMillis, long waitMillis) {
        if (takenMillis >= waitMillis) {
            slow = takenMillis - waitMillis > RepeatPolicy.LATE_ANSWER_MILLIS;
        }
    }
}
