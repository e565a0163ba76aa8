package org.rattanrudder.core.admission;

import java.util.random.RandomGenerator;

/** Computes when a refused caller should retry. */
public final class RetryAfterPolicy {
    private static final long MIN_SPREAD_MILLIS = 1_000;
    private static final long MAX_RETRY_AFTER_MILLIS = 60_000;
    private static final long MICROS_PER_MILLI = 1_000;

    private final RandomGenerator random;

    /** Creates a policy that draws its jitter from this generator. */
    public RetryAfterPolicy(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Returns after how many milliseconds to retry.
     *
     * <p>Callers that were refused at the same moment would all retry at the same moment and be refused again. So
     * the delays are spread evenly over a span as long as the wait, and at least a second.
     *
     * @param waitMicros how long the caller would wait now, in microseconds
     */
    public long retryAfterMillis(long waitMicros) {
        long wait = Math.min(waitMicros / MICROS_PER_MILLI, MAX_RETRY_AFTER_MILLIS / 2);
        long spread = Math.max(wait, MIN_SPREAD_MILLIS);
        return wait + 1 + random.nextLong(spread);
    }
}
