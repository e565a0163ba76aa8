package org.rattanrudder.core.fleet;

/**
 * Tracks the median of a duration from its samples.
 *
 * <p>Each sample moves the estimate by a fixed share towards itself, however far away it is: an outlier counts no more
 * than any other sample, and what was learned is forgotten as fast as the duration changes. The first samples move it
 * further, so that a wrong start is left within a few of them.
 */
public final class MedianEstimate {
    /** Share by which a sample moves the estimate once it has settled. */
    private static final double SETTLED_STEP = 0.02;

    /** Share by which the first sample moves it; later ones move it less and less, down to the settled step. */
    private static final double FIRST_STEP = 0.5;

    private static final double MIN_MILLIS = 0.5;

    private double millis;
    private long samples;

    /** Creates an estimate from what is expected before any sample, in ms. */
    public MedianEstimate(double expectedMillis) {
        millis = Math.max(MIN_MILLIS, expectedMillis);
    }

    /** Records a sample, in ms. */
    public void record(double sampleMillis) {
        double step = Math.max(SETTLED_STEP, FIRST_STEP / (1 + samples / 2));
        samples++;
        millis = sampleMillis > millis ? millis * (1 + step) : Math.max(MIN_MILLIS, millis / (1 + step));
    }

    /** Returns the estimate, in ms. */
    public double millis() {
        return millis;
    }
}
