package org.rattanrudder.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.rattanrudder.core.gateway.WarmUpTraits;

/**
 * Limits the requests to targets that are warming up, or may be without a sign of it.
 *
 * <p>Two limits apply. A target that is known to warm up gets no more from this relay than its share of what the target
 * tolerates; see {@link PermitShares} for the sum over all relays. Any other target may begin to warm up before anybody
 * knows, so this relay sends to it only while the requests that it knows of, its own and its peers', leave room below
 * what a target survives while it warms up. The first limit needs no news of others; the second one is as good as that
 * news.
 *
 * <p>All times are milliseconds of a monotonic clock.
 */
public final class WarmUpAdmission {
    /** Share of what a warming target survives that is used; the rest is for requests that aren't known here. */
    private static final double USED_SHARE = 0.8;

    private final Evacuations evacuations;
    private final PermitShares shares;
    private double overage = 1;
    private double slack;

    /**
     * Creates an admission.
     *
     * @param evacuations the evacuations after whose end targets warm up
     * @param shares how relays divide permits
     */
    public WarmUpAdmission(Evacuations evacuations, PermitShares shares) {
        this.evacuations = evacuations;
        this.shares = shares;
    }

    /**
     * Sets how much more than the tolerated rate a target survives while it warms up.
     *
     * @param newOverage a factor of the tolerated rate, at least 1
     * @param newSlack requests a second on top of it
     */
    public void updateBounds(double newOverage, double newSlack) {
        overage = newOverage;
        slack = newSlack;
    }

    /** Returns the targets that may get another request now. */
    public List<Target> admitted(List<Target> targets, Optional<WarmUpTraits> traits, long nowMillis) {
        if (traits.isEmpty()) {
            return targets;
        }
        List<Target> admitted = new ArrayList<>(targets.size());
        for (Target target : targets) {
            if (admits(target, traits.get(), nowMillis)) {
                admitted.add(target);
            }
        }
        return admitted;
    }

    private boolean admits(Target target, WarmUpTraits traits, long nowMillis) {
        RecentSends own = target.recentSends();
        int ownCount = own.sent(nowMillis) + own.reserved();
        if (isWarmingUp(target, traits, nowMillis)) {
            return ownCount < ownShare(target, traits);
        }
        return ownCount + target.peerSends(nowMillis) < Math.max(1, USED_SHARE * survivedPerSecond(traits));
    }

    /**
     * Returns whether a request that was reserved at the target may be sent: the target may warm up by now.
     */
    public boolean mayStillSend(Target target, Optional<WarmUpTraits> traits, long nowMillis) {
        return traits.isEmpty()
                || !isWarmingUp(target, traits.get(), nowMillis)
                || target.recentSends().sent(nowMillis) < ownShare(target, traits.get());
    }

    /** Returns how many requests this relay may send to the target in any second while it is warming up. */
    public int ownShare(Target target, WarmUpTraits traits) {
        return shares.ownShare(target, permits(traits));
    }

    private int permits(WarmUpTraits traits) {
        return (int) Math.floor(Math.min(traits.requestsPerSecond(), USED_SHARE * survivedPerSecond(traits)));
    }

    private double survivedPerSecond(WarmUpTraits traits) {
        return traits.requestsPerSecond() * overage + slack;
    }

    /** Returns whether a target is known to be warming up. */
    public boolean isWarmingUp(Target target, WarmUpTraits traits, long nowMillis) {
        return nowMillis < target.warmUp().endsAt(traits.millis(), evacuationEndedAt(target));
    }

    /** Returns what shows that a target is warming up, when that was learned, and when the warm-up ends. */
    public Optional<Knowledge> knowledge(Target target, WarmUpTraits traits, long nowMillis) {
        if (!isWarmingUp(target, traits, nowMillis)) {
            return Optional.empty();
        }
        WarmUp warmUp = target.warmUp();
        long evacuationEndedAt = evacuationEndedAt(target);
        return Optional.of(new Knowledge(
                warmUp.evidence(traits.millis(), evacuationEndedAt).name(),
                nowMillis - warmUp.learnedAt(traits.millis(), evacuationEndedAt),
                warmUp.endsAt(traits.millis(), evacuationEndedAt) - nowMillis));
    }

    private long evacuationEndedAt(Target target) {
        return evacuations.endedAt(target.registration().failureDomain());
    }

    /**
     * What is known of a warm-up.
     *
     * @param evidence what shows it
     * @param ageMillis how long this relay has known it
     * @param remainingMillis how long it still lasts
     */
    public record Knowledge(String evidence, long ageMillis, long remainingMillis) {}
}
