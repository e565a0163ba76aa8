package org.rattanrudder.core.routing;

/**
 * Configured speeds for estimating how long a target takes to recompute or fetch missing context. They apply where a
 * target has not reported measured speeds.
 *
 * @param prefillTokensPerSecond speed at which an engine computes context
 * @param bytesPerToken size of one token's KV cache
 * @param fetchBytesPerSecond speed at which context is fetched from a store; 0 if there is no store
 */
public record ContextCosts(long prefillTokensPerSecond, int bytesPerToken, long fetchBytesPerSecond) {
    /** The costs of calls without context. */
    public static final ContextCosts NONE = new ContextCosts(0, 0, 0);

    private static final long MICROS_PER_SECOND = 1_000_000L;

    /** Returns the time in microseconds to compute the tokens at the measured speed, or at the configured one if 0. */
    public long recomputeMicros(int tokens, long measuredTokensPerSecond) {
        long speed = measuredTokensPerSecond > 0 ? measuredTokensPerSecond : prefillTokensPerSecond;
        return speed == 0 ? 0 : tokens * MICROS_PER_SECOND / speed;
    }

    /**
     * Returns the time in microseconds to fetch the tokens at the measured speed, or at the configured one if 0; {@link
     * Long#MAX_VALUE} if there is no store.
     */
    public long fetchMicros(int tokens, long measuredBytesPerSecond) {
        long speed = measuredBytesPerSecond > 0 ? measuredBytesPerSecond : fetchBytesPerSecond;
        return speed == 0 ? Long.MAX_VALUE : (long) tokens * bytesPerToken * MICROS_PER_SECOND / speed;
    }
}
