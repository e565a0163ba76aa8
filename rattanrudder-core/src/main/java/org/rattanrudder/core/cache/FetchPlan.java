package org.rattanrudder.core.cache;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.rattanrudder.core.document.CacheSettings;

/**
 * How many of a prompt's missing blocks to fetch, and how long that takes.
 *
 * @param blocks the number of blocks to fetch, starting with the first missing one; the rest is computed
 * @param fetchMicros the expected time until they are in the engine's cache
 */
record FetchPlan(int blocks, long fetchMicros) {
    /** Fetches nothing. */
    static final FetchPlan COMPUTE_ALL = new FetchPlan(0, 0);

    private static final long WAIT_GRACE_MICROS = 50_000;
    /**
     * The weight of fetch time against compute time where the service favours saving recomputation over an early
     * first token.
     */
    private static final double RECOMPUTE_WEIGHT = 0.25;

    /**
     * Chooses the number of blocks with the lowest cost: the time to fetch them within the current budgets of the
     * links, and the time to compute the rest at the measured speed.
     *
     * @param locations where the blocks are, from the first missing one to the last before the first that no store has;
     *     null for a block whose fetch is in flight
     * @param targetBudget the budget of the target's link
     * @param cache block sizes, and which cost the service favours
     * @param prefillSpeed the engine's speed in tokens per second
     * @param missingTokens all tokens that the engine lacks
     * @param leftMicros the time until the first byte is due
     * @param nowMicros the time
     */
    static FetchPlan choose(
            List<BlockLocation> locations,
            LinkBudget targetBudget,
            CacheSettings cache,
            long prefillSpeed,
            long missingTokens,
            long leftMicros,
            long nowMicros) {
        double weight = cache.favour() == CacheSettings.Favour.RECOMPUTE ? RECOMPUTE_WEIGHT : 1;
        FetchPlan best = COMPUTE_ALL;
        FetchPlan soonest = COMPUTE_ALL;
        double bestCost = computeMicros(missingTokens, prefillSpeed);
        long soonestMicros = computeMicros(missingTokens, prefillSpeed);
        Cost cost = new Cost(targetBudget, nowMicros);
        for (int blocks = 1; blocks <= locations.size(); blocks++) {
            long fetchMicros = cost.add(locations.get(blocks - 1));
            if (fetchMicros == Long.MAX_VALUE) {
                break;
            }
            long computeMicros = computeMicros(missingTokens - (long) blocks * cache.pieceTokens(), prefillSpeed);
            FetchPlan plan = new FetchPlan(blocks, fetchMicros);
            if (weight * fetchMicros + computeMicros < bestCost) {
                bestCost = weight * fetchMicros + computeMicros;
                best = plan;
            }
            if (fetchMicros + computeMicros < soonestMicros) {
                soonestMicros = fetchMicros + computeMicros;
                soonest = plan;
            }
        }
        long bestMicros = best.fetchMicros
                + computeMicros(missingTokens - (long) best.blocks * cache.pieceTokens(), prefillSpeed);
        return bestMicros <= leftMicros ? best : soonest;
    }

    /**
     * Returns how long the prompt waits for its blocks at most. Without the limit, a move that ends late or whose
     * end is lost would delay a prompt that its engine could have computed by then.
     */
    long maxWaitMicros(long leftMicros) {
        return Math.max(0, Math.min(2 * fetchMicros + WAIT_GRACE_MICROS, leftMicros / 2));
    }

    private static long computeMicros(long tokens, long prefillSpeed) {
        return Math.max(0, tokens) * 1_000_000 / Math.max(1, prefillSpeed);
    }

    /** Sums up the fetch time of blocks, one by one. */
    private static final class Cost {
        private final LinkBudget targetBudget;
        private final long nowMicros;
        private final Map<StoreLink, Long> storeBytes = new HashMap<>();
        private long bytes;
        private long largestBytes;
        private long waitMicros;
        private long transferMicros;

        Cost(LinkBudget targetBudget, long nowMicros) {
            this.targetBudget = targetBudget;
            this.nowMicros = nowMicros;
        }

        /**
         * Returns the time until all blocks so far are fetched; {@link Long#MAX_VALUE} if they never fit the budget.
         */
        long add(BlockLocation location) {
            if (location != null) {
                StoreLink store = location.store();
                long blockBytes = location.block().bytes();
                long bytesOfStore = storeBytes.merge(store, blockBytes, Long::sum);
                bytes += blockBytes;
                largestBytes = Math.max(largestBytes, blockBytes);
                long storeWait = store.budget.waitMicros(bytesOfStore, largestBytes, nowMicros);
                long targetWait = targetBudget.waitMicros(bytes, largestBytes, nowMicros);
                waitMicros = Math.max(waitMicros, Math.max(storeWait, targetWait));
                transferMicros = Math.max(transferMicros, store.throughput.micros(bytesOfStore));
            }
            return waitMicros == Long.MAX_VALUE ? waitMicros : waitMicros + transferMicros;
        }
    }
}
