package org.rattanrudder.core.fleet;

/**
 * The learned factor of one target: how long work takes there at the pace that it reports, compared with the other
 * targets of its service.
 *
 * <p>It is the ratio of the sums of observed and expected times, with some samples' worth of a target like all others.
 */
final class TargetFactor {
    /** Bounds of the ratio that one sample records, so that an outlier has a bounded effect. */
    private static final double MIN_RATIO = 0.5;

    private static final double MAX_RATIO = 4;

    /** Share of the past that a sample of full weight replaces. */
    private static final double FORGOTTEN_SHARE = 0.03;

    /** Samples of a usual target that the factor starts with, and that aren't forgotten. */
    private static final double USUAL_SAMPLES = 4;

    private double observed;
    private double expected;

    /** Records an observed and an expected time, both in ms, with a weight from 0 to 1. */
    void record(double observedMillis, double expectedMillis, double weight) {
        double kept = 1 - FORGOTTEN_SHARE * weight;
        double ratio = Math.max(MIN_RATIO, Math.min(MAX_RATIO, observedMillis / Math.max(1, expectedMillis)));
        observed = observed * kept + weight * ratio;
        expected = expected * kept + weight;
    }

    /** Returns the factor, 1 for a target like all others. */
    double value() {
        return (observed + USUAL_SAMPLES) / (expected + USUAL_SAMPLES);
    }
}
