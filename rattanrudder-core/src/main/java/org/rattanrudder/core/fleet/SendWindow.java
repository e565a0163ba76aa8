package org.rattanrudder.core.fleet;

import java.util.List;
import org.rattanrudder.core.fleet.RelayLoad.TargetLoad;
import org.rattanrudder.core.gateway.EngineTraits;

/**
 * Says whether an engine takes another request without making it wait long.
 *
 * <p>What waits in an engine's own queue can't be put in another order any more, and its plan for cached parts ages.
 * After an overload that left every engine with a second of queue, all fetches came too late, so that each prompt was
 * read in full and the queues stayed. Requests therefore wait at the relay, where the one that can still be on time
 * goes first, and an engine holds just enough to be busy until the next one reaches it.
 */
public final class SendWindow {
    /** Prompt tokens that may wait at an engine, about 130 ms of reading: enough to bridge a round trip. */
    private static final long WAITING_TOKENS = 14_000;

    /**
     * The part of an engine's memory that requests fill which can be on time. It is over 1 since parts that requests
     * share are counted once for each; at 1.0 engines answered within 95 ms while requests were refused for their sake.
     */
    private static final double MEMORY_SHARE = 1.15;

    /** The part of it that late requests fill: those that can be on time find room at once. */
    private static final double LATE_MEMORY_SHARE = 0.75;

    private static final long LATE_WAITING_TOKENS = 6_000;

    private SendWindow() {}

    /** Returns the targets that take a request of so many tokens now. */
    public static List<Target> open(
            List<Target> targets, EngineTraits engine, int tokens, boolean late, long nowMillis) {
        return targets.stream()
                .filter(target -> isOpen(target, engine, tokens, late, nowMillis))
                .toList();
    }

    private static boolean isOpen(Target target, EngineTraits engine, int tokens, boolean late, long nowMillis) {
        if (target.isPaused(nowMillis) || target.isSwapping(nowMillis)) {
            return false;
        }
        TargetLoad others = target.othersLoad(nowMillis);
        if (target.inFlight() + others.requests() == 0) {
            // A request that is larger than all memory is the engine's to refuse.
            return true;
        }
        long unread = target.waitingTokens() + others.unread();
        long memory = target.inFlightTokens() + others.tokens() + tokens;
        return unread < (late ? LATE_WAITING_TOKENS : WAITING_TOKENS)
                && memory <= engine.capacityTokens() * (late ? LATE_MEMORY_SHARE : MEMORY_SHARE)
                && target.inFlight() + others.requests() < engine.slots();
    }
}
