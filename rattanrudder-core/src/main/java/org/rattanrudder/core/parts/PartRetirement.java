package org.rattanrudder.core.parts;

import java.util.TreeMap;

/**
 * Says from when on the parts of older weights may be freed.
 *
 * <p>Stores fill up, and what engines read under new weights finds no room before the parts of old ones are gone. A
 * part must not be freed while an engine reads it. An engine refuses requests for weights that it doesn't serve any
 * more, and what it had begun to fetch ends within a known time; so once all engines serve a version or a newer one,
 * and that time is over, nobody reads what is older.
 *
 * <p>Times are milliseconds of a steady clock.
 */
public final class PartRetirement {
    /** How long fetches may go on once no engine serves their weights, and what timers are late by, in ms. */
    static final long WAIT_MILLIS = PartDirectory.FETCH_AFTER_SENT_MILLIS + 500;

    /** Since when all engines have served a version or a newer one. */
    private final TreeMap<Long, Long> sinceByVersion = new TreeMap<>();

    /** Makes a state in which nothing may be freed. */
    public PartRetirement() {}

    /**
     * Notes the oldest weights that any engine serves.
     *
     * @param version their version; 0 if it isn't known
     */
    public void updateOldestServed(long version, long nowMillis) {
        // An engine that was unknown, or that started again with older weights than the others, takes them up again.
        sinceByVersion.tailMap(version, false).clear();
        if (version > 0) {
            sinceByVersion.putIfAbsent(version, nowMillis);
        }
    }

    /** Returns the version before which parts may be freed; 0 if none may. */
    public long evictableBefore(long nowMillis) {
        while (sinceByVersion.size() > 1
                && isOver(sinceByVersion.higherEntry(sinceByVersion.firstKey()).getValue(), nowMillis)) {
            sinceByVersion.pollFirstEntry();
        }
        return sinceByVersion.isEmpty() || !isOver(sinceByVersion.firstEntry().getValue(), nowMillis)
                ? 0
                : sinceByVersion.firstKey();
    }

    private static boolean isOver(long sinceMillis, long nowMillis) {
        return nowMillis - sinceMillis >= WAIT_MILLIS;
    }
}
