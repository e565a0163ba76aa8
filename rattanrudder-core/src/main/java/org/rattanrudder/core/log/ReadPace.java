package org.rattanrudder.core.log;

/**
 * How long a reader of the log waits between two reads, none of which the log holds open.
 *
 * <p>A read that waits at the log for a record keeps one of its places, and appends of others may find none. So reads
 * are short: frequent while records come or one is expected, and rarer with each read that brings nothing. All times
 * are in ms.
 */
public final class ReadPace {
    /** The gap after a read that brought records, and while one is expected. */
    public static final long SHORTEST_GAP_MILLIS = 100;

    private static final int GROWTH = 2;

    private final long longestGapMillis;
    private long gapMillis = SHORTEST_GAP_MILLIS;

    /**
     * Creates the pace of a reader that has read nothing.
     *
     * @param longestGapMillis the gap while no records come
     */
    public ReadPace(long longestGapMillis) {
        this.longestGapMillis = longestGapMillis;
    }

    /** Handles a record that is expected, such as one that this process appends. */
    public void onRecordExpected() {
        gapMillis = Math.min(SHORTEST_GAP_MILLIS, longestGapMillis);
    }

    /** Returns the gap until the next read, after one that has reached the end of the log. */
    public long onReadToEnd(boolean broughtRecords) {
        if (broughtRecords) {
            onRecordExpected();
        }
        long gap = gapMillis;
        gapMillis = Math.min(longestGapMillis, GROWTH * gapMillis);
        return gap;
    }
}
