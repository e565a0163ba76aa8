package org.rattanrudder.core.parts;

/**
 * Tracks how late responses are whose prompts fetched parts from one store, and decides which share of prompts keeps
 * fetching there.
 *
 * <p>A store's transfers queue on its link. When the link becomes slow, fetches wait for each other for up to seconds,
 * and every prompt that needs one is late, although its engine could recompute the part in less than a tenth of that
 * time. Only as many prompts as the link can carry should fetch: the later the responses, the smaller the share.
 * Avoiding the store entirely would recompute far more prompts than needed.
 */
final class FetchDelay {
    /** Lateness from which the share falls even if all stores are as late: deadlines of a few seconds are at risk. */
    private static final double MAX_LATE_MILLIS = 1_000;

    /** Minimum share that keeps fetching, to detect when the store has recovered. */
    private static final double MIN_SHARE = 0.05;

    /** The weight of the newest response. */
    private static final double SAMPLE_WEIGHT = 0.05;

    /** Half-life of the recorded lateness. */
    private static final double HALF_LIFE_MILLIS = 1_500;

    private double lateMillis;
    private long updatedAt;
    private double credit = 1;

    /** Records by how much some responses were later than without the fetch, on average. */
    void record(int samples, double excessMillis, long nowMillis) {
        decay(nowMillis);
        double weight = 1 - Math.pow(1 - SAMPLE_WEIGHT, samples);
        lateMillis += weight * (Math.max(0, excessMillis) - lateMillis);
    }

    /** Returns the current lateness. */
    double lateMillis(long nowMillis) {
        decay(nowMillis);
        return lateMillis;
    }

    /**
     * Returns whether the next request fetches from the store.
     *
     * @param tolerance how late its fetches may be, in addition to twice the baseline
     * @param baselineMillis the lateness with other stores: busy engines make all responses late
     */
    boolean tryFetch(FetchTolerance tolerance, double baselineMillis, long nowMillis) {
        decay(nowMillis);
        credit += share(tolerance, baselineMillis);
        if (credit < 1) {
            return false;
        }
        credit -= 1;
        return true;
    }

    private double share(FetchTolerance tolerance, double baselineMillis) {
        // When engines are busy, lateness varies by as much as the baseline, and recomputing would add to their load.
        double over = Math.max(lateMillis - 2 * baselineMillis - tolerance.fullMillis(), lateMillis - MAX_LATE_MILLIS);
        double left = 1 - over / tolerance.spanMillis();
        return Math.max(MIN_SHARE, Math.min(1, left));
    }

    private void decay(long nowMillis) {
        lateMillis *= Math.pow(0.5, Math.max(0, nowMillis - updatedAt) / HALF_LIFE_MILLIS);
        updatedAt = nowMillis;
    }
}
