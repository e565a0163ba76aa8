package org.rattanrudder.core.topics;

/**
 * How often a topic is read, so that each of its records is in force within a bound.
 *
 * <p>In the worst case, a record is written just after a read, and the next read's connection is silent. Then these
 * times add up: the interval until that read, the time from which its answer is late, the answer to its repeat on a new
 * connection, and the time to put the record in force. Their sum is the bound.
 */
public final class ReadTiming {
    /** Time in which a call on a new connection is answered, and in which further silent connections are noticed. */
    public static final long ANSWER_MILLIS = 300;

    /** Time in which a record that was read is put in force. */
    static final long APPLY_MILLIS = 100;

    private static final long RESERVE_MILLIS = RepeatPolicy.LATE_ANSWER_MILLIS + ANSWER_MILLIS + APPLY_MILLIS;

    /** A shorter interval would make the calls too many; shorter bounds can't be kept on a silent connection. */
    private static final long MIN_INTERVAL_MILLIS = 200;

    private ReadTiming() {}

    /**
     * Returns the interval that is wanted, shortened as far as a bound needs it.
     *
     * @param boundMillis the time from a record's acknowledgement until it has to be in force, in ms
     * @param wantedMillis the time between two reads that is wanted, in ms, counted from when they are asked for
     */
    public static long intervalMillis(long boundMillis, long wantedMillis) {
        return Math.min(wantedMillis, Math.max(MIN_INTERVAL_MILLIS, boundMillis - RESERVE_MILLIS));
    }
}
