package org.rattanrudder.core.parts;

import java.util.TreeMap;

/**
 * Waits until the parts of older weights may be evicted, from when they were found out of use.
 *
 * <p>Stores fill up, and parts computed under new weights find no room until those of the old weights are evicted. A
 * part must not be evicted while an engine fetches it, and pending fetches end within a known time; so once all weights
 * in use were of a version or a newer one for that time, no engine reads older parts. {@link RetiredWeights} decides
 * which weights are in use.
 *
 * <p>Times are milliseconds of a monotonic clock.
 */
public final class PartRetirement {
    /** How long fetches may continue after no engine serves their weights, including timer delays. */
    static final long WAIT_MILLIS = PartDirectory.FETCH_AFTER_SENT_MILLIS + 500;

    /** Since when all weights in use were of a version or a newer one. */
    private final TreeMap<Long, Long> sinceByVersion = new TreeMap<>();

    private final long waitMillis;

    /** Creates a state in which no part may be evicted. */
    public PartRetirement() {
        this(WAIT_MILLIS);
    }

    /**
     * Creates such a state with a wait of its own.
     *
     * @param waitMillis how long fetches may continue after their weights were found out of use, in ms
     */
    PartRetirement(long waitMillis) {
        this.waitMillis = waitMillis;
    }

    /**
     * Updates the oldest weights in use.
     *
     * @param version their version; 0 if unknown
     */
    public void update(long version, long nowMillis) {
        // An engine that was unknown, or that restarted with older weights than the others, uses older parts again.
        sinceByVersion.tailMap(version, false).clear();
        if (version > 0) {
            sinceByVersion.putIfAbsent(version, nowMillis);
        }
    }

    /** Returns the version before which parts may be evicted; 0 if none may. */
    public long evictableBefore(long nowMillis) {
        while (sinceByVersion.size() > 1
                && isOver(sinceByVersion.higherEntry(sinceByVersion.firstKey()).getValue(), nowMillis)) {
            sinceByVersion.pollFirstEntry();
        }
        return sinceByVersion.isEmpty() || !isOver(sinceByVersion.firstEntry().getValue(), nowMillis)
                ? 0
                : sinceByVersion.firstKey();
    }

    private boolean isOver(long sinceMillis, long nowMillis) {
        return nowMillis - sinceMillis >= waitMillis;
    }
}
