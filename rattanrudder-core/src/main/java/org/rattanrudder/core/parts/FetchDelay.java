package org.rattanrudder.core.parts;

/**
 * How late answers are whose prompts were read from one store, and which part of them should go on reading there.
 *
 * <p>A store's transfers queue on its link. When the link turns slow, fetches wait for each other up to seconds, and
 * every prompt that needs one is late, though its engine could read it anew in less than a tenth of the time. As many
 * prompts as the link carries should read there: the later its answers, the smaller the part that does. Leaving it
 * alone altogether would read far more prompts anew.
 */
final class FetchDelay {
    /** Lateness beyond the usual up to which every prompt reads from the store, in ms, beside as much as is usual. */
    private static final double TOLERATED_MILLIS = 80;

    /** From so much more lateness on only a few do, in ms: an objective of half a second is missed. */
    private static final double SPAN_MILLIS = 300;

    /** Lateness that is too much even if all stores are as late, in ms: deadlines of a few seconds are in danger. */
    private static final double HOPELESS_MILLIS = 1_000;

    /** The part that goes on reading however late it is, to see when the store has recovered. */
    private static final double LEAST_SHARE = 0.05;

    /** The weight of the newest answer. */
    private static final double SAMPLE_WEIGHT = 0.05;

    /** After this time half of what was seen is forgotten, in ms. */
    private static final double HALF_LIFE_MILLIS = 1_500;

    private double lateMillis;
    private long updatedAt;
    private double credit = 1;

    /** Notes by how much some answers were later than without the fetch, on average. */
    void observed(int samples, double excessMillis, long nowMillis) {
        fade(nowMillis);
        double weight = 1 - Math.pow(1 - SAMPLE_WEIGHT, samples);
        lateMillis += weight * (Math.max(0, excessMillis) - lateMillis);
    }

    /** Returns how late answers are now, in ms. */
    double lateMillis(long nowMillis) {
        fade(nowMillis);
        return lateMillis;
    }

    /**
     * Takes the turn of a request, and returns whether it reads from the store.
     *
     * @param usualMillis how late answers are with other stores: engines that are busy make all of them late
     */
    boolean takeTurn(double usualMillis, long nowMillis) {
        fade(nowMillis);
        credit += share(usualMillis);
        if (credit < 1) {
            return false;
        }
        credit -= 1;
        return true;
    }

    private double share(double usualMillis) {
        // Where engines are busy, lateness varies by as much as is usual, and reading anew would make them busier.
        double over = Math.max(lateMillis - 2 * usualMillis - TOLERATED_MILLIS, lateMillis - HOPELESS_MILLIS);
        double left = 1 - over / SPAN_MILLIS;
        return Math.max(LEAST_SHARE, Math.min(1, left));
    }

    private void fade(long nowMillis) {
        lateMillis *= Math.pow(0.5, Math.max(0, nowMillis - updatedAt) / HALF_LIFE_MILLIS);
        updatedAt = nowMillis;
    }
}
