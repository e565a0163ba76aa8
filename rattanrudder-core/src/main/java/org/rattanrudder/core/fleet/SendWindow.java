package org.rattanrudder.core.fleet;

import java.util.List;
import org.rattanrudder.core.fleet.LoadReport.TargetLoad;
import org.rattanrudder.core.gateway.EngineTraits;

/**
 * Decides whether an engine can accept another request without queueing it for long.
 *
 * <p>Requests in an engine's own queue can't be reordered, and their fetch plans for cached parts become outdated.
 * Requests therefore wait at the relay, which dispatches those first that can still be on time, and an engine holds
 * just enough of them to be busy until the next one arrives.
 *
 * <p>A relay learns with a delay about the requests that peers send to engines that it doesn't share. It uses those
 * only if none of its shared engines accepts work, and only while they have ample room.
 */
public final class SendWindow {
    /**
     * Prompt tokens that may await prefill at an engine where learned figures don't apply: enough to keep it busy for a
     * round trip.
     */
    private static final long MAX_PREFILL_TOKENS = 14_000;

    /**
     * Prefill work that keeps an engine busy until the next request arrives, in ms, where learned figures apply. The
     * window adds the base time, in which an engine has received a request and doesn't prefill it yet: at the expected
     * figures, both together are {@link #MAX_PREFILL_TOKENS}.
     */
    private static final double ARRIVAL_MILLIS =
            MAX_PREFILL_TOKENS / ServiceCapacity.EXPECTED_TOKENS_PER_MILLI - ServiceCapacity.EXPECTED_BASE_MILLIS;

    /**
     * Longest prompt that a window has room for beside the base time, as its time in prefill, in ms. A prompt
     * counts whole until its first event; in a smaller window the engine would be idle until the next one has arrived.
     */
    private static final double MAX_ONE_PROMPT_MILLIS = 210;

    /**
     * Share of an engine's memory that on-time requests may fill. Above 1, since parts that requests share are counted
     * once per request.
     */
    private static final double MAX_MEMORY_SHARE = 1.15;

    /**
     * Share of memory that late requests, and requests to unshared engines, may fill: on-time requests of the sharing
     * relays then find room at once.
     */
    private static final double CONSERVATIVE_MAX_MEMORY_SHARE = 0.75;

    private static final long CONSERVATIVE_MAX_PREFILL_TOKENS = 6_000;

    private static final double CONSERVATIVE_SHARE = (double) CONSERVATIVE_MAX_PREFILL_TOKENS / MAX_PREFILL_TOKENS;

    private SendWindow() {}

    /** Returns the targets that can accept a request of the given size now. */
    public static List<Target> targetsWithRoom(
            List<Target> targets, EngineTraits engine, int tokens, boolean late, long nowMillis) {
        boolean includeUnshared =
                targets.stream().noneMatch(target -> target.isShared() && acceptsWork(target, nowMillis));
        return targets.stream()
                .filter(target -> includeUnshared || target.isShared())
                .filter(target -> hasRoom(target, engine, tokens, late, nowMillis))
                .toList();
    }

    private static boolean acceptsWork(Target target, long nowMillis) {
        return !target.isPaused(nowMillis) && !target.isLoadingWeights(nowMillis);
    }

    private static boolean hasRoom(Target target, EngineTraits engine, int tokens, boolean late, long nowMillis) {
        if (!acceptsWork(target, nowMillis)) {
            return false;
        }
        TargetLoad peers = target.peerLoad(nowMillis);
        if (target.inFlight() + peers.requests() == 0) {
            // An idle engine accepts anything; it rejects requests that exceed its whole memory itself.
            return true;
        }
        boolean conservative = late || !target.isShared();
        long prefill = target.pendingPrefillTokens() + peers.pendingPrefillTokens();
        long memory = target.inFlightTokens() + peers.tokens() + tokens;
        return prefill < maxPrefillTokens(target.capacity(), conservative, nowMillis)
                && memory <= engine.capacityTokens() * (conservative ? CONSERVATIVE_MAX_MEMORY_SHARE : MAX_MEMORY_SHARE)
                && target.inFlight() + peers.requests() < engine.slots()
                && !target.capacity().isBeyondKnee(target.inFlight() + peers.requests(), nowMillis);
    }

    /** Returns how many prompt tokens may await prefill at a target. */
    static double maxPrefillTokens(TargetCapacity capacity, boolean conservative, long nowMillis) {
        if (!capacity.usesLearnedFigures(nowMillis)) {
            return conservative ? CONSERVATIVE_MAX_PREFILL_TOKENS : MAX_PREFILL_TOKENS;
        }
        double speed = capacity.prefillTokensPerMilli(nowMillis);
        // A base time that was learned while requests waited at engines must not let more of them wait there.
        double baseMillis = Math.min(capacity.service().baseMillis(nowMillis), ServiceCapacity.EXPECTED_BASE_MILLIS);
        double base = baseMillis * speed;
        double onePrompt = Math.min(capacity.service().largestPrompt() + 1, MAX_ONE_PROMPT_MILLIS * speed);
        double window = base + Math.max(ARRIVAL_MILLIS * speed, onePrompt);
        return conservative ? CONSERVATIVE_SHARE * window : window;
    }
}
