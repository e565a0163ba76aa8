package org.rattanrudder.core.fleet;

import java.util.List;
import org.rattanrudder.core.fleet.LoadReport.TargetLoad;
import org.rattanrudder.core.gateway.EngineTraits;

/**
 * Says whether an engine takes another request without making it wait long.
 *
 * <p>What waits in an engine's own queue can't be put in another order any more, and its plan for cached parts ages.
 * Requests therefore wait at the relay, where the one that can still be on time goes first, and an engine holds just
 * enough to be busy until the next one reaches it.
 *
 * <p>A relay hears late of what others place at engines that it doesn't share. Those are open to it only if none that
 * it shares takes any work, and while they have much room left.
 */
public final class SendWindow {
    /** Prompt tokens that may wait at an engine: enough to keep it busy for a round trip. */
    private static final long WAITING_TOKENS = 14_000;

    /**
     * The part of an engine's memory that requests fill which can be on time. It is over 1 since parts that requests
     * share are counted once for each.
     */
    private static final double MEMORY_SHARE = 1.15;

    /** The part of it that late requests and those of other sharers fill: others find room at once. */
    private static final double MODEST_MEMORY_SHARE = 0.75;

    private static final long MODEST_WAITING_TOKENS = 6_000;

    private SendWindow() {}

    /** Returns the targets that take a request of so many tokens now. */
    public static List<Target> targetsWithRoom(
            List<Target> targets, EngineTraits engine, int tokens, boolean late, long nowMillis) {
        boolean othersToo = targets.stream().noneMatch(target -> target.isShared() && takesWork(target, nowMillis));
        return targets.stream()
                .filter(target -> othersToo || target.isShared())
                .filter(target -> isOpen(target, engine, tokens, late, nowMillis))
                .toList();
    }

    private static boolean takesWork(Target target, long nowMillis) {
        return !target.isPaused(nowMillis) && !target.isLoadingWeights(nowMillis);
    }

    private static boolean isOpen(Target target, EngineTraits engine, int tokens, boolean late, long nowMillis) {
        if (!takesWork(target, nowMillis)) {
            return false;
        }
        TargetLoad others = target.othersLoad(nowMillis);
        if (target.inFlight() + others.requests() == 0) {
            // A request that is larger than all memory is the engine's to refuse.
            return true;
        }
        boolean modest = late || !target.isShared();
        long unread = target.waitingTokens() + others.pendingPrefillTokens();
        long memory = target.inFlightTokens() + others.tokens() + tokens;
        return unread < (modest ? MODEST_WAITING_TOKENS : WAITING_TOKENS)
                && memory <= engine.capacityTokens() * (modest ? MODEST_MEMORY_SHARE : MEMORY_SHARE)
                && target.inFlight() + others.requests() < engine.slots();
    }
}
