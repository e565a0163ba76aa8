package org.rattanrudder.core.fleet;

/**
 * Fits a line through samples of the time to the first event by prefill tokens: its intercept is the base time, its
 * slope the time per token.
 *
 * <p>A weighted least-squares fit that forgets old samples. The start is a pair of samples on the expected line, which
 * are forgotten as others arrive. A sample that is far from the line counts as one at a limit that follows the usual
 * distance, so that outliers have a bounded influence.
 */
final class PrefillRegression {
    /** Share of the past that a sample of full weight replaces: the fit rests on about the last hundred. */
    private static final double FORGOTTEN_SHARE = 0.01;

    /** Weight of each of the two samples that stand for what is expected at the start. */
    private static final double EXPECTED_WEIGHT = 2;

    /** Prompt size of the second of these samples, in kilotokens. */
    private static final double EXPECTED_KILOTOKENS = 10;

    /**
     * Weight with which the expected base time remains in the fit. It decides only where all prompts are of the same
     * size, so that samples say nothing of the base time.
     */
    private static final double BASE_WEIGHT = 0.1;

    /** Learned speeds differ from the expected one by at most this factor. */
    private static final double MAX_RATIO = 20;

    /** Multiple of the usual distance from the line beyond which a sample is an outlier. */
    private static final double OUTLIER_RATIO = 3;

    /** Share by which a sample of full weight moves the usual distance from the line. */
    private static final double DEVIATION_STEP = 0.05;

    /** The largest distance of a sample that is believed, as a multiple of what was expected of it. */
    private static final double MAX_DEVIATION_RATIO = 4;

    private static final double TOKENS_PER_KILOTOKEN = 1_000;

    private final double expectedBaseMillis;
    private final double minSlope;
    private final double maxSlope;
    private double weights;
    private double sumX;
    private double sumY;
    private double sumXx;
    private double sumXy;
    private double baseMillis;
    private double millisPerKilotoken;
    private double deviation;
    private double recorded;

    /** Creates a fit that starts with the expected base time, in ms, and prefill speed, in tokens/ms. */
    PrefillRegression(double expectedBaseMillis, double expectedTokensPerMilli) {
        this.expectedBaseMillis = expectedBaseMillis;
        baseMillis = expectedBaseMillis;
        millisPerKilotoken = TOKENS_PER_KILOTOKEN / expectedTokensPerMilli;
        minSlope = millisPerKilotoken / MAX_RATIO;
        maxSlope = millisPerKilotoken * MAX_RATIO;
        double second = expectedMillis(EXPECTED_KILOTOKENS * TOKENS_PER_KILOTOKEN);
        deviation = second;
        add(0, baseMillis, EXPECTED_WEIGHT);
        add(EXPECTED_KILOTOKENS, second, EXPECTED_WEIGHT);
    }

    /**
     * Records a sample.
     *
     * @param tokens the prompt tokens that were prefilled until the first event
     * @param millis the time to the first event at the usual pace
     * @param weight how much the sample says, from 0 to 1
     */
    void record(double tokens, double millis, double weight) {
        double expected = expectedMillis(tokens);
        double distance = millis - expected;
        double limit = OUTLIER_RATIO * deviation;
        double believed = expected + Math.max(-limit, Math.min(limit, distance));
        deviation +=
                DEVIATION_STEP * weight * (Math.min(Math.abs(distance), MAX_DEVIATION_RATIO * expected) - deviation);
        forget(1 - FORGOTTEN_SHARE * weight);
        add(tokens / TOKENS_PER_KILOTOKEN, believed, weight);
        recorded += weight;
        fit();
    }

    private void forget(double kept) {
        weights *= kept;
        sumX *= kept;
        sumY *= kept;
        sumXx *= kept;
        sumXy *= kept;
    }

    private void add(double x, double y, double weight) {
        weights += weight;
        sumX += weight * x;
        sumY += weight * y;
        sumXx += weight * x * x;
        sumXy += weight * x * y;
    }

    private void fit() {
        double allWeights = weights + BASE_WEIGHT;
        double allY = sumY + BASE_WEIGHT * expectedBaseMillis;
        double slope = (allWeights * sumXy - sumX * allY) / (allWeights * sumXx - sumX * sumX);
        millisPerKilotoken = Math.max(minSlope, Math.min(maxSlope, slope));
        baseMillis = Math.max(0, (allY - millisPerKilotoken * sumX) / allWeights);
    }

    /** Returns the time to the first event with so many tokens to prefill, in ms. */
    double expectedMillis(double tokens) {
        return baseMillis + millisPerKilotoken * tokens / TOKENS_PER_KILOTOKEN;
    }

    /** Returns the time to the first event without prefill, in ms. */
    double baseMillis() {
        return baseMillis;
    }

    /** Returns the prefill speed, in tokens/ms. */
    double tokensPerMilli() {
        return TOKENS_PER_KILOTOKEN / millisPerKilotoken;
    }

    /** Returns the sum of the weights of all samples. */
    double recorded() {
        return recorded;
    }
}
