package org.rattanrudder.core.topics;

import java.util.OptionalLong;

/**
 * When the calls of one client to the platform's store are repeated on a new connection.
 *
 * <p>A late answer on the connection of the first call, or none on any, shows that the store is slow and not that the
 * connection is silent. Repeats would only add to its load then, so the next call gets a single, later one, until an
 * answer comes in time again. All times are in ms.
 */
public final class RepeatSchedule {
    /** Time from which the answer of a slow store is late. */
    static final long SLOW_ANSWER_MILLIS = 500;

    private boolean slow;

    /** Creates the schedule of a client that has made no call. */
    public RepeatSchedule() {}

    /**
     * Returns after which time a call is repeated, counted from when it was first made; empty if it isn't any more.
     *
     * @param calls how many times it was made
     */
    public OptionalLong repeatAfterMillis(int calls) {
        if (!slow) {
            return RepeatPolicy.repeatAfterMillis(calls);
        }
        return calls == 1 ? OptionalLong.of(SLOW_ANSWER_MILLIS) : OptionalLong.empty();
    }

    /**
     * Handles an answer to the first call.
     *
     * @param takenMillis the time from the call to its answer
     */
    public void onFirstCallAnswered(long takenMillis) {
        slow = takenMillis > RepeatPolicy.LATE_ANSWER_MILLIS;
    }

    /** Handles a call that got no answer, though it was repeated. */
    public void onUnanswered() {
        slow = true;
    }
}
