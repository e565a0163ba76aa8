package org.rattanrudder.core.admission;

import java.util.random.RandomGenerator;

/** Chooses when a refused caller should come back. */
public final class RetryAfterPolicy {
    private static final long SHORTEST_SPREAD_MILLIS = 1_000;
    private static final long LONGEST_MILLIS = 60_000;
    private static final long MICROS_PER_MILLI = 1_000;

    private final RandomGenerator random;

    /** Creates one that draws from this generator. */
    public RetryAfterPolicy(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Returns when to come back, in milliseconds from now.
     *
     * <p>Callers that were refused in the same moment would all return in the same moment and be refused again, so the
     * times are spread evenly over a span as long as the wait, and no shorter than a second.
     *
     * @param waitMicros the wait that the caller would see now, in microseconds
     */
    public long retryAfterMillis(long waitMicros) {
        long wait = Math.min(waitMicros / MICROS_PER_MILLI, LONGEST_MILLIS / 2);
        long spread = Math.max(wait, SHORTEST_SPREAD_MILLIS);
        return wait + 1 + random.nextLong(spread);
    }
}
