package org.rattanrudder.core.fleet;

import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.rattanrudder.core.fleet.LoadReport.TargetLoad;
import org.rattanrudder.core.gateway.EngineTraits;
import org.rattanrudder.core.routing.Hashing;

/**
 * Picks the target with the lowest expected delay.
 *
 * <p>All terms are in milliseconds: pending prefill, slots shared with running requests, memory shortage, recent
 * lateness and failures, and the cost of a connection to another failure domain. A target that was tried before is
 * chosen only if no other one is left.
 */
public final class Placement {
    /**
     * Delay that each running request adds to the steps of an engine, summed over a short response, where learned
     * figures don't apply.
     */
    private static final double MILLIS_PER_RUNNING_REQUEST = 2;

    /** The same delay as a number of prompt tokens that take as long at the expected prefill speed. */
    private static final double TOKENS_PER_RUNNING_REQUEST =
            MILLIS_PER_RUNNING_REQUEST * ServiceCapacity.EXPECTED_TOKENS_PER_MILLI;

    /** Delay equivalent of a certain failure: the retry, and the risk that the request is lost. */
    private static final double FAILURE_MILLIS = 1_500;

    /** Cost of another failure domain: its links are billed, but no caller should wait for long to avoid them. */
    private static final double OTHER_DOMAIN_MILLIS_PER_KILOTOKEN = 7;

    private static final double OTHER_DOMAIN_MILLIS = 20;

    /** Cost of older weights: a response on them is worth a fifth less, so a fifth of the usual objective. */
    private static final double OLD_WEIGHTS_MILLIS = 80;

    /**
     * Share of an engine's memory above which requests are likely to be preempted; the rest is reserved for output and
     * for load reports that are still under way.
     */
    private static final double MAX_MEMORY_SHARE = 0.9;

    private static final double MEMORY_SHORT_MILLIS = 400;
    private static final double PAUSED_MILLIS = 5_000;
    private static final double LOADING_WEIGHTS_MILLIS = 3_000;
    private static final double TRIED_MILLIS = 20_000;

    /** Advantage of the engine that a context is hashed to: it may still hold the context in its own memory. */
    private static final double AFFINITY_MILLIS = 12;

    /**
     * Advantage of the engines that a relay is hashed to, per peer, with a maximum. The load sent by peers is known
     * with a delay of up to some hundred ms, and relays that all picked the engine that seemed least busy would
     * overfill it together. Each relay therefore has its own order of preference among engines that are about equally
     * busy.
     */
    private static final double RELAY_PREFERENCE_MILLIS_PER_PEER = 2;

    private static final double MAX_RELAY_PREFERENCE_MILLIS = 60;

    private static final double UNIT = 0x1.0p-53;
    private static final int UNIT_SHIFT = 11;

    private Placement() {}

    /**
     * The chosen target.
     *
     * @param target the target
     * @param expectedMillis the expected delay at the target
     * @param candidates how many targets were compared
     */
    public record Choice(Target target, double expectedMillis, int candidates) {}

    /** Returns the best target; empty if the service has none that may start the request. */
    public static Optional<Choice> choose(List<Target> targets, PlacementQuery query, long nowMillis) {
        return choose(targets, query, nowMillis, () -> false);
    }

    /**
     * Returns the best target, or the second best if both are about equally good; empty if the service has none that
     * may start the request.
     *
     * @param preferSecond decides at random whether the second best is chosen if both are about equally good: relays
     *     that hear the same pace must not all choose the same target; asked only where learned figures apply
     */
    public static Optional<Choice> choose(
            List<Target> targets, PlacementQuery query, long nowMillis, BooleanSupplier preferSecond) {
        Target best = null;
        double bestMillis = Double.MAX_VALUE;
        Target second = null;
        double secondMillis = Double.MAX_VALUE;
        int candidates = 0;
        for (Target target : targets) {
            if (!isEligible(target, query)) {
                continue;
            }
            candidates++;
            double expected = expectedMillis(target, query, nowMillis);
            if (expected < bestMillis) {
                second = best;
                secondMillis = bestMillis;
                best = target;
                bestMillis = expected;
            } else if (expected < secondMillis) {
                second = target;
                secondMillis = expected;
            }
        }
        if (second != null
                && secondMillis - bestMillis < equalMillis(best, query, nowMillis)
                && preferSecond.getAsBoolean()) {
            return Optional.of(new Choice(second, secondMillis, candidates));
        }
        return best == null ? Optional.empty() : Optional.of(new Choice(best, bestMillis, candidates));
    }

    /** Returns the difference of two engines that are about equally good: what a relay's own preference makes up. */
    private static double equalMillis(Target target, PlacementQuery query, long nowMillis) {
        return query.engine().isPresent() && target.capacity().usesLearnedFigures(nowMillis)
                ? relayPreference(query) * preferenceScale(target, nowMillis)
                : 0;
    }

    private static boolean isEligible(Target target, PlacementQuery query) {
        if (target.inFlight() >= query.connections()) {
            return false;
        }
        return query.model().isEmpty() || target.weights(query.model().get()) >= query.oldestWeights();
    }

    private static double expectedMillis(Target target, PlacementQuery query, long nowMillis) {
        double millis = query.engine().isPresent()
                ? engineMillis(target, query, query.engine().get(), nowMillis)
                : plainMillis(target, query, nowMillis);
        millis += target.firstByteExcess(nowMillis) + FAILURE_MILLIS * target.failureRatio(nowMillis);
        if (!target.registration().failureDomain().equals(query.failureDomain())) {
            millis += OTHER_DOMAIN_MILLIS + OTHER_DOMAIN_MILLIS_PER_KILOTOKEN * query.tokens() / 1_000;
        }
        if (target.isPaused(nowMillis)) {
            millis += PAUSED_MILLIS;
        }
        if (query.tried().contains(target.id())) {
            millis += TRIED_MILLIS;
        }
        return millis;
    }

    /** A full set of slots delays a call by the duration of the calls in it. */
    private static double plainMillis(Target target, PlacementQuery query, long nowMillis) {
        int slots = Math.max(1, target.registration().slots());
        double share = (double) (target.inFlight() + target.peerLoad(nowMillis).requests()) / slots;
        double delay = query.callMillis() * share * (share < 1 ? share : 2 * share);
        if (!target.capacity().usesLearnedFigures(nowMillis)) {
            return delay;
        }
        double slowdown = target.capacity().slowdown(nowMillis);
        boolean full = target.capacity().isBeyondKnee(target.requests(nowMillis), nowMillis);
        return slowdown * delay + (slowdown - 1) * query.callMillis() + (full ? query.callMillis() : 0);
    }

    private static double engineMillis(Target target, PlacementQuery query, EngineTraits engine, long nowMillis) {
        TargetLoad peers = target.peerLoad(nowMillis);
        double millis = workMillis(target, query, peers, nowMillis);
        double memory = engine.capacityTokens() * MAX_MEMORY_SHARE;
        long wanted = target.inFlightTokens() + peers.tokens() + query.tokens();
        if (wanted > memory) {
            millis += MEMORY_SHORT_MILLIS * wanted / memory;
        }
        if (target.isLoadingWeights(nowMillis)) {
            millis += LOADING_WEIGHTS_MILLIS;
        }
        if (query.model().isPresent() && target.weights(query.model().get()) < query.newestWeights()) {
            millis += OLD_WEIGHTS_MILLIS;
        }
        return millis - preferenceScale(target, nowMillis) * affinity(target, query);
    }

    /**
     * Returns the delay by the work that is there and, where targets differ in speed, by the request itself. Beyond a
     * target's knee the request counts twice: it makes the others slower too.
     */
    private static double workMillis(Target target, PlacementQuery query, TargetLoad peers, long nowMillis) {
        long pending = target.pendingPrefillTokens() + peers.pendingPrefillTokens();
        int running = target.inFlight() + peers.requests();
        TargetCapacity capacity = target.capacity();
        if (!capacity.usesLearnedFigures(nowMillis)) {
            return pending / ServiceCapacity.EXPECTED_TOKENS_PER_MILLI + MILLIS_PER_RUNNING_REQUEST * running;
        }
        double slowdown = capacity.slowdown(nowMillis);
        double usual = capacity.service().usualMillis(query.tokens());
        return (pending + TOKENS_PER_RUNNING_REQUEST * running) / capacity.prefillTokensPerMilli(nowMillis)
                + (slowdown - 1) * usual
                + (capacity.isBeyondKnee(running, nowMillis) ? slowdown * usual : 0);
    }

    private static double affinity(Target target, PlacementQuery query) {
        double context = query.affinity() == 0 ? 0 : AFFINITY_MILLIS;
        return relayPreference(query) * uniform(query.relay(), target) + context * uniform(query.affinity(), target);
    }

    private static double relayPreference(PlacementQuery query) {
        return Math.min(MAX_RELAY_PREFERENCE_MILLIS, RELAY_PREFERENCE_MILLIS_PER_PEER * query.otherRelays());
    }

    /**
     * Returns the factor by which preferences in ms are scaled. The same work takes longer on slower engines, where an
     * unscaled preference would outweigh less of it than at the expected speed.
     */
    private static double preferenceScale(Target target, long nowMillis) {
        return ServiceCapacity.EXPECTED_TOKENS_PER_MILLI
                / target.capacity().service().prefillTokensPerMilli(nowMillis);
    }

    private static double uniform(long hash, Target target) {
        return (Hashing.combine(hash, target.idHash()) >>> UNIT_SHIFT) * UNIT;
    }
}
