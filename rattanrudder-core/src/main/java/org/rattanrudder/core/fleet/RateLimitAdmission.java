package org.rattanrudder.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;

/**
 * Keeps this relay's requests to targets that have named a rate limit within its share of the limit.
 *
 * <p>The limit holds for all relays together. They divide it as {@link PermitShares} says, from registered names alone:
 * of a limit of {@code r} requests a second, each of the first {@code ceil(r)} relays has an equal share, and sends
 * what its share allows for a quarter of a second at once, or one request. Within {@code t} seconds all relays together
 * send {@code r * t + ceil(r)} requests at most.
 *
 * <p>All times are milliseconds of a monotonic clock.
 */
public final class RateLimitAdmission {
    /** Requests a second that are sent whatever the limit: nobody would learn otherwise that it has ended. */
    private static final double MIN_REQUESTS_PER_SECOND = 0.2;

    /** What a relay may send at once, in seconds of its share: requests arrive unevenly. */
    private static final double BURST_SECONDS = 0.25;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final PermitShares shares;

    /**
     * Creates an admission.
     *
     * @param shares how relays divide permits
     */
    public RateLimitAdmission(PermitShares shares) {
        this.shares = shares;
    }

    /** Returns the targets that may get another request now. It is asked at each placement. */
    public List<Target> admitted(List<Target> targets, long nowMillis) {
        if (!isAnyLimited(targets)) {
            return targets;
        }
        List<Target> admitted = new ArrayList<>(targets.size());
        for (Target target : targets) {
            if (hasPermit(target, target.recentSends().reserved(), nowMillis)) {
                admitted.add(target);
            }
        }
        return admitted;
    }

    /** Returns whether a request that was reserved at the target may be sent: the limit may be newer. */
    public boolean mayStillSend(Target target, long nowMillis) {
        return hasPermit(target, 0, nowMillis);
    }

    private boolean hasPermit(Target target, int reserved, long nowMillis) {
        OptionalDouble limit = target.rateLimit();
        if (limit.isEmpty()) {
            return true;
        }
        TokenBucket permits = target.rateLimitPermits();
        double perSecond = ownRequestsPerSecond(target);
        permits.fill(perSecond, perSecond == 0 ? 0 : Math.max(1, perSecond * BURST_SECONDS), nowMillis);
        return permits.hasTokenBeside(reserved);
    }

    /** Returns how many requests a second this relay may send to a target; infinite if it has named no limit. */
    public double ownRequestsPerSecond(Target target) {
        OptionalDouble limit = target.rateLimit();
        if (limit.isEmpty()) {
            return Double.POSITIVE_INFINITY;
        }
        double perSecond = Math.max(MIN_REQUESTS_PER_SECOND, limit.getAsDouble());
        int permits = (int) Math.ceil(perSecond);
        return perSecond / permits * shares.ownShare(target, permits);
    }

    /**
     * Returns whether the limits of all targets delay a request for longer than it may wait.
     *
     * @param targets those that may run the request
     * @param ahead how many requests are sent before it
     * @param mayWaitMillis how long it may wait
     */
    public boolean delaysTooLong(List<Target> targets, int ahead, long mayWaitMillis) {
        double perSecond =
                targets.stream().mapToDouble(this::ownRequestsPerSecond).sum();
        return Double.isFinite(perSecond) && (ahead + 1) * MILLIS_PER_SECOND / perSecond > mayWaitMillis;
    }

    private static boolean isAnyLimited(List<Target> targets) {
        for (Target target : targets) {
            if (target.rateLimit().isPresent()) {
                return true;
            }
        }
        return false;
    }
}
