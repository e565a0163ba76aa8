package org.rattanrudder.core.fleet;

/**
 * The learned knee of one target: the number of requests from which on more work makes all of it slower.
 *
 * <p>Observed times, as multiples of expected ones, are kept by how full the target was. The knee is where they rise
 * steeply from one range to the next; times that rise little by little show none. It is at least half of the slots, so
 * that a false one costs a target no more than that.
 *
 * <p>All times are milliseconds of a monotonic clock.
 */
final class Knee {
    /** No number of requests. */
    static final int NONE = Integer.MAX_VALUE;

    /** Ranges: one below half of the slots, and one for each further eighth. */
    private static final int RANGES = 5;

    private static final int EIGHTHS = 8;
    private static final int FIRST_EIGHTH = 4;

    /** The rise from one range to the next, as a ratio, that makes a knee; less may be the noise of a few samples. */
    private static final double STEEP_RISE = 1.3;

    /** Weight of samples that a range needs. */
    private static final double NEEDED_WEIGHT = 4;

    /** Share of the past of a range that a sample of full weight replaces. */
    private static final double FORGOTTEN_SHARE = 0.05;

    /** Ratios above this are recorded as this, so that an outlier has a bounded effect. */
    private static final double MAX_RATIO = 4;

    /**
     * How long a range counts after its last sample. A target beyond its knee gets fewer requests, so that no sample
     * would correct a false knee, or one that has changed.
     */
    private static final long VALID_MILLIS = 30_000;

    private final double[] ratios = new double[RANGES];
    private final double[] weights = new double[RANGES];
    private final long[] recordedAt = new long[RANGES];

    /**
     * Records a sample.
     *
     * @param requests how many requests the target had
     * @param slots how many requests it runs at once
     * @param ratio the observed time as a multiple of the expected one
     * @param weight how much the sample says, from 0 to 1
     */
    void record(int requests, int slots, double ratio, double weight, long nowMillis) {
        int range = Math.max(0, Math.min(RANGES - 1, EIGHTHS * requests / Math.max(1, slots) - FIRST_EIGHTH + 1));
        if (nowMillis - recordedAt[range] > VALID_MILLIS) {
            weights[range] = 0;
        }
        double kept = weights[range] * (1 - FORGOTTEN_SHARE * weight);
        double sum = ratios[range] * kept + weight * Math.min(MAX_RATIO, ratio);
        weights[range] = kept + weight;
        ratios[range] = weights[range] > 0 ? sum / weights[range] : 0;
        recordedAt[range] = nowMillis;
    }

    /** Returns the number of requests from which on more work makes all of it slower; {@link #NONE} if not known. */
    int requests(int slots, long nowMillis) {
        int range = range(nowMillis);
        return range == 0 ? NONE : (slots * (range + FIRST_EIGHTH - 1) + EIGHTHS - 1) / EIGHTHS;
    }

    /** Returns the range in which the knee is; 0 if none is known. */
    private int range(long nowMillis) {
        for (int range = 1; range < RANGES; range++) {
            if (isKnown(range, nowMillis)
                    && isKnown(range - 1, nowMillis)
                    && ratios[range] >= STEEP_RISE * ratios[range - 1]) {
                return range;
            }
        }
        return 0;
    }

    private boolean isKnown(int range, long nowMillis) {
        return weights[range] >= NEEDED_WEIGHT && nowMillis - recordedAt[range] <= VALID_MILLIS;
    }
}
