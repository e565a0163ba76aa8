package org.rattanrudder.core.cache;

/**
 * Scores how much a block is worth retaining, per byte, from its past use. All blocks have the same size and cost
 * the same to recompute, so only the expected rate of reuse counts.
 */
@FunctionalInterface
public interface RetentionScore {
    /**
     * The maximum number of reuses that count: with more, a block that is out of use would keep a high score for too
     * long.
     */
    int MAX_RETURNS = 8;
    /** The number of reuses assumed of a block before any was observed. */
    double PRIOR_RETURNS = 0.5;
    /** The time in seconds over which {@link #PRIOR_RETURNS} are assumed. */
    double PRIOR_SECONDS = 43_200;
    /** A block that has been idle for this many expected gaps is probably out of use. */
    double MAX_IDLE_GAPS = 2;

    /**
     * The expected reuses per second, from the mean gap. Idle time that is short compared with the gap hardly
     * changes the score; once it is longer, the score drops quickly.
     */
    RetentionScore RETURN_RATE = (uses, gapSeconds, idleSeconds) -> {
        int returns = Math.min(uses - 1, MAX_RETURNS);
        double rate = (PRIOR_RETURNS + returns) / (PRIOR_SECONDS + returns * gapSeconds);
        double idleness = idleSeconds * rate / MAX_IDLE_GAPS;
        return rate / (1 + idleness * idleness * idleness);
    };

    /** The most recently used block has the highest score. */
    RetentionScore LEAST_RECENTLY_USED = (uses, gapSeconds, idleSeconds) -> 1 / (1 + idleSeconds);

    /**
     * The score of the paper "Enhancing In-network Caching by Coupling Cache Placement, Replacement and Location":
     * it grows by the gain at each use, and the contention is the same for all blocks of a store.
     */
    RetentionScore RATE_TIMES_GAIN = (uses, gapSeconds, idleSeconds) -> uses;

    /**
     * Returns the score; only its order matters.
     *
     * @param uses how often the block was used after a gap, at least 1
     * @param gapSeconds the mean gap between uses; 0 before the second
     * @param idleSeconds the time since the last use
     */
    double of(int uses, double gapSeconds, double idleSeconds);
}
