package org.rattanrudder.core.fleet;

import java.util.List;
import java.util.Optional;
import org.rattanrudder.core.fleet.LoadReport.TargetLoad;
import org.rattanrudder.core.gateway.EngineTraits;
import org.rattanrudder.core.routing.Hashing;

/**
 * Picks the target with the least expected delay.
 *
 * <p>All terms are milliseconds: work that waits before the request, slots that are shared with running requests,
 * memory that is short, recent lateness and failures, and what a connection to another failure domain costs. A target
 * that was tried before is taken only if no other is left.
 */
public final class Placement {
    /** Prompt tokens that an engine reads in a millisecond; the order of magnitude suffices to compare targets. */
    private static final double TOKENS_PER_MILLI = 100;

    /** What a running request adds to each step of an engine, summed over a short answer, in ms. */
    private static final double RUNNING_MILLIS = 2;

    /** Delay per full set of slots of a plain service, in ms: the mean time of its calls. */
    private static final double PLAIN_ROUND_MILLIS = 80;

    /** What a certain failure would cost, in ms of delay: the retry, and that the request may be lost. */
    private static final double FAILURE_MILLIS = 1_500;

    /** What another failure domain costs: its links are priced, but no caller should wait long to spare them. */
    private static final double DOMAIN_MILLIS_PER_KILOTOKEN = 7;

    private static final double DOMAIN_MILLIS = 20;

    /** What older weights cost: an answer on them is worth a fifth less, a fifth of the usual objective in ms. */
    private static final double OLD_WEIGHTS_MILLIS = 80;

    /** Memory above which requests are preempted soon; the rest is kept for output and late reports. */
    private static final double MEMORY_SHARE = 0.9;

    private static final double MEMORY_SHORT_MILLIS = 400;
    private static final double PAUSED_MILLIS = 5_000;
    private static final double SWAPPING_MILLIS = 3_000;
    private static final double TRIED_MILLIS = 20_000;

    /** What the engine that a context is hashed to saves: it may hold the context in its own memory, in ms. */
    private static final double AFFINITY_MILLIS = 12;

    /**
     * What the engines that a relay is hashed to save it, in ms for each other relay, and at most. What others have
     * sent is known up to some hundred ms late. Relays that all took the engine which seems least busy would overfill
     * it together; each therefore has an order of its own among engines that are about as busy.
     */
    private static final double OWN_ORDER_MILLIS = 2;

    private static final double LARGEST_OWN_ORDER_MILLIS = 60;

    private static final double UNIT = 0x1.0p-53;
    private static final int UNIT_SHIFT = 11;

    private Placement() {}

    /**
     * A target and what decided for it.
     *
     * @param target the target
     * @param expectedMillis the delay that is expected there
     * @param candidates how many targets were compared
     */
    public record Choice(Target target, double expectedMillis, int candidates) {}

    /** Returns the best target; empty if the service has none that may begin the request. */
    public static Optional<Choice> choose(List<Target> targets, PlacementQuery query, long nowMillis) {
        Target best = null;
        double bestMillis = Double.MAX_VALUE;
        int candidates = 0;
        for (Target target : targets) {
            if (!mayBegin(target, query)) {
                continue;
            }
            candidates++;
            double expected = expectedMillis(target, query, nowMillis);
            if (expected < bestMillis) {
                best = target;
                bestMillis = expected;
            }
        }
        return best == null ? Optional.empty() : Optional.of(new Choice(best, bestMillis, candidates));
    }

    private static boolean mayBegin(Target target, PlacementQuery query) {
        if (target.inFlight() >= query.connections()) {
            return false;
        }
        return query.model().isEmpty() || target.weights(query.model().get()) >= query.oldestWeights();
    }

    private static double expectedMillis(Target target, PlacementQuery query, long nowMillis) {
        double millis = query.engine().isPresent()
                ? engineMillis(target, query, query.engine().get(), nowMillis)
                : plainMillis(target, nowMillis);
        millis += target.firstByteExcess(nowMillis) + FAILURE_MILLIS * target.failureRatio(nowMillis);
        if (!target.registration().failureDomain().equals(query.failureDomain())) {
            millis += DOMAIN_MILLIS + DOMAIN_MILLIS_PER_KILOTOKEN * query.tokens() / 1_000;
        }
        if (target.isPaused(nowMillis)) {
            millis += PAUSED_MILLIS;
        }
        if (query.tried().contains(target.id())) {
            millis += TRIED_MILLIS;
        }
        return millis;
    }

    private static double plainMillis(Target target, long nowMillis) {
        int slots = Math.max(1, target.registration().slots());
        double share =
                (double) (target.inFlight() + target.othersLoad(nowMillis).requests()) / slots;
        return PLAIN_ROUND_MILLIS * share * (share < 1 ? share : 2 * share);
    }

    private static double engineMillis(Target target, PlacementQuery query, EngineTraits engine, long nowMillis) {
        TargetLoad others = target.othersLoad(nowMillis);
        double millis = (target.waitingTokens() + others.pendingPrefillTokens()) / TOKENS_PER_MILLI
                + RUNNING_MILLIS * (target.inFlight() + others.requests());
        double memory = engine.capacityTokens() * MEMORY_SHARE;
        long wanted = target.inFlightTokens() + others.tokens() + query.tokens();
        if (wanted > memory) {
            millis += MEMORY_SHORT_MILLIS * wanted / memory;
        }
        if (target.isLoadingWeights(nowMillis)) {
            millis += SWAPPING_MILLIS;
        }
        if (query.model().isPresent() && target.weights(query.model().get()) < query.newestWeights()) {
            millis += OLD_WEIGHTS_MILLIS;
        }
        return millis - affinity(target, query);
    }

    private static double affinity(Target target, PlacementQuery query) {
        double own = Math.min(LARGEST_OWN_ORDER_MILLIS, OWN_ORDER_MILLIS * query.otherRelays());
        double context = query.affinity() == 0 ? 0 : AFFINITY_MILLIS;
        return own * uniform(query.relay(), target) + context * uniform(query.affinity(), target);
    }

    private static double uniform(long hash, Target target) {
        return (Hashing.combine(hash, target.idHash()) >>> UNIT_SHIFT) * UNIT;
    }
}
