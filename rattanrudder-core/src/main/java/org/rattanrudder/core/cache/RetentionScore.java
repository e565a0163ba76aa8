package org.rattanrudder.core.cache;

/**
 * Says how much a block is worth keeping, per byte, from what was seen of it. All blocks have the same size and cost
 * the same to recompute, so only the expected rate of returns counts.
 */
@FunctionalInterface
public interface KeepValue {
    /** How many returns are remembered: more would make a block that is out of use seem valuable for too long. */
    int REMEMBERED_RETURNS = 8;
    /** The returns assumed of a block before any was seen. */
    double FIRST_RETURNS = 0.5;
    /** The time in seconds over which {@link #FIRST_RETURNS} are assumed. */
    double FIRST_SECONDS = 43_200;
    /** After a silence of this many expected gaps a block is probably out of use. */
    double PATIENCE_GAPS = 2;

    /**
     * Returns a second, estimated from the mean gap. A silence that is short against the gap says nothing; one that is
     * long against it makes the value fall fast.
     */
    KeepValue RETURN_RATE = (sights, gapSeconds, idleSeconds) -> {
        int returns = Math.min(sights - 1, REMEMBERED_RETURNS);
        double rate = (FIRST_RETURNS + returns) / (FIRST_SECONDS + returns * gapSeconds);
        double silence = idleSeconds * rate / PATIENCE_GAPS;
        return rate / (1 + silence * silence * silence);
    };

    /** The block that was used last is worth most. */
    KeepValue LEAST_RECENTLY_USED = (sights, gapSeconds, idleSeconds) -> 1 / (1 + idleSeconds);

    /**
     * The value of the paper "Enhancing In-network Caching by Coupling Cache Placement, Replacement and Location", as
     * it is kept there: it grows by the gain at each use, and the contention is the same for all blocks of a store.
     */
    KeepValue RATE_TIMES_GAIN = (sights, gapSeconds, idleSeconds) -> sights;

    /**
     * Returns the value; only its order matters.
     *
     * @param sights how often it was asked for after a gap, at least 1
     * @param gapSeconds the mean gap between sights; 0 before the second
     * @param idleSeconds the time since the last sight
     */
    double of(int sights, double gapSeconds, double idleSeconds);
}
