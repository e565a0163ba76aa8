package org.rattanrudder.core.companion;

/** An engine's prefill speed, as a moving average over its answers. */
final class PrefillSpeed {
    /**
     * Minimum number of computed tokens of a sample. With fewer, the time to the first token depends little on prefill.
     */
    private static final int MIN_COMPUTED_TOKENS = 256;

    private static final double SMOOTHING_RATIO = 0.1;
    private static final double MICROS_PER_SECOND = 1_000_000;

    private double tokensPerSecond;

    /**
     * Records one answer.
     *
     * @param computedTokens number of prompt tokens that weren't cached
     * @param firstChunkMicros time from the call to the first chunk in microseconds
     */
    void record(int computedTokens, long firstChunkMicros) {
        if (computedTokens < MIN_COMPUTED_TOKENS || firstChunkMicros <= 0) {
            return;
        }
        double speed = computedTokens * MICROS_PER_SECOND / firstChunkMicros;
        tokensPerSecond = tokensPerSecond == 0 ? speed : tokensPerSecond + SMOOTHING_RATIO * (speed - tokensPerSecond);
    }

    /** Returns the average speed; 0 before the first sample. */
    long tokensPerSecond() {
        return Math.round(tokensPerSecond);
    }
}
