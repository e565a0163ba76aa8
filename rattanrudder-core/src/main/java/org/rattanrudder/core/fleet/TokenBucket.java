package org.rattanrudder.core.fleet;

/**
 * A token bucket whose rate and capacity are given with each call, since both may change.
 *
 * <p>All times are milliseconds of a monotonic clock.
 */
final class TokenBucket {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Less than any number of tokens that matters: sums of shares of a token may end just below a whole one. */
    private static final double ROUNDING = 1e-6;

    private double tokens;
    private long filledAt;

    /** Takes all tokens. */
    void empty(long nowMillis) {
        tokens = 0;
        filledAt = nowMillis;
    }

    /** Adds the tokens of the time since the last call. */
    void fill(double tokensPerSecond, double capacity, long nowMillis) {
        tokens = Math.min(capacity, tokens + tokensPerSecond * (nowMillis - filledAt) / MILLIS_PER_SECOND);
        filledAt = nowMillis;
    }

    /** Returns whether another token is left beside the reserved ones. */
    boolean hasTokenBeside(int reserved) {
        return tokens - reserved >= 1 - ROUNDING;
    }

    /** Takes a token. */
    void take() {
        tokens--;
    }
}
