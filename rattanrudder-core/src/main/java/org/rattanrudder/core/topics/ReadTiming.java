package org.rattanrudder.core.topics;

/**
 * How often a topic is polled, so that each of its records is in force within a bound.
 *
 * <p>In the worst case, a record is written just after an empty answer, and the next poll's connection is silent. Then
 * these times add up: the gap until that poll, its wait, the time from which its answer is late, the answer to its
 * repeat on a new connection, and the time to put the record in force. Their sum is the bound.
 *
 * @param gapMillis the time between an answer and the next poll, in ms
 * @param waitMillis how long a poll waits for a record, in ms
 */
public record ReadTiming(long gapMillis, long waitMillis) {
    /** Time in which a call on a new connection is answered, and in which further silent connections are noticed. */
    static final long ANSWER_MILLIS = 300;

    /** Time in which a record that was read is put in force. */
    static final long APPLY_MILLIS = 100;

    private static final long RESERVE_MILLIS = RepeatPolicy.LATE_ANSWER_MILLIS + ANSWER_MILLIS + APPLY_MILLIS;

    /** A shorter wait would make the calls too many; shorter bounds can't be kept on a silent connection. */
    private static final long MIN_WAIT_MILLIS = 200;

    /**
     * Returns the intervals that are wanted, shortened as far as a bound needs it.
     *
     * @param boundMillis the time from a record's acknowledgement until it has to be in force, in ms
     * @param wantedGapMillis the gap that is wanted, in ms; it comes before the wait
     * @param wantedWaitMillis the wait that is wanted, in ms
     */
    public static ReadTiming within(long boundMillis, long wantedGapMillis, long wantedWaitMillis) {
        long cycle = boundMillis - RESERVE_MILLIS;
        long gap = Math.max(0, Math.min(wantedGapMillis, cycle - MIN_WAIT_MILLIS));
        return new ReadTiming(gap, Math.min(wantedWaitMillis, Math.max(MIN_WAIT_MILLIS, cycle - gap)));
    }
}
