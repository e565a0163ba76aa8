package org.rattanrudder.core.entry;

import java.util.random.RandomGenerator;

/**
 * Computes the retry delay of refused callers so that their retries are spread over time.
 *
 * <p>Each refusal takes the next slot in a schedule of retries whose rate is that at which the service answers.
 * Otherwise all callers who were refused during an outage of minutes would retry in the second in which it ends, and
 * cause the next outage.
 */
final class RetryAfterScheduler {
    private static final long MAX_RETRY_AFTER_MICROS = 30_000_000;
    private static final long MIN_RETRY_AFTER_MICROS = 200_000;
    private static final double INITIAL_ANSWERS_PER_SECOND = 20;
    private static final double MICROS_PER_SECOND = 1_000_000;
    private static final double MAX_GAP_MICROS = MICROS_PER_SECOND;
    private static final double SMOOTHING_MICROS = 5 * MICROS_PER_SECOND;

    private final RandomGenerator random;
    private double answersPerSecond = INITIAL_ANSWERS_PER_SECOND;
    private long lastAnswerMicros;
    private double nextRetryMicros;

    RetryAfterScheduler(RandomGenerator random) {
        this.random = random;
    }

    /** Updates the estimate of the service's answer rate with an answered request. */
    void onAnswered(long nowMicros) {
        // The length of an outage is no measure of the service's capacity, so the gap between answers is capped.
        double gap = Math.min(MAX_GAP_MICROS, Math.max(1, nowMicros - lastAnswerMicros));
        double weight = 1 - Math.exp(-gap / SMOOTHING_MICROS);
        answersPerSecond += (MICROS_PER_SECOND / gap - answersPerSecond) * weight;
        lastAnswerMicros = nowMicros;
    }

    /**
     * Returns the delay in milliseconds after which a caller who is refused now should retry.
     *
     * @param minMillis the delay before which a retry can't succeed
     */
    long retryAfterMillis(long minMillis, long nowMicros) {
        double gap = MICROS_PER_SECOND / Math.max(1, answersPerSecond);
        nextRetryMicros = Math.max(nextRetryMicros + gap, nowMicros + minMillis * 1_000.0);
        double due = nextRetryMicros - nowMicros;
        double spread = Math.max(due, MIN_RETRY_AFTER_MICROS) * (1 + random.nextDouble() / 2);
        return (long) Math.ceil(spread > MAX_RETRY_AFTER_MICROS ? randomNearMax() / 1_000 : spread / 1_000);
    }

    /** Beyond the maximum delay the schedule can't be kept, so delays are spread over the second half of the range. */
    private double randomNearMax() {
        return MAX_RETRY_AFTER_MICROS * (0.5 + random.nextDouble() / 2);
    }
}
