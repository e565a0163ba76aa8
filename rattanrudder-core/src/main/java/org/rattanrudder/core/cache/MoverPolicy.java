package org.rattanrudder.core.cache;

/**
 * How a mover scores and places blocks. Policies other than {@link #DEFAULT} are used only for comparison.
 *
 * @param retentionScore how much a block is worth retaining in a store
 * @param exportOnFirstUse whether a block is exported when it has been used only once
 * @param evictOnlyLessValuable whether a block is put into a full store only if its score is higher than that of the
 *     evicted block
 * @param segmentBlocks how many consecutive blocks of a prompt go to the same store, from 1
 */
public record MoverPolicy(
        RetentionScore retentionScore, boolean exportOnFirstUse, boolean evictOnlyLessValuable, int segmentBlocks) {
    /** The policy that the daemon uses. */
    public static final MoverPolicy DEFAULT = new MoverPolicy(RetentionScore.RETURN_RATE, true, true, 8);
}
