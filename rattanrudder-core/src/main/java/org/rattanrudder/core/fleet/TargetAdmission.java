package org.rattanrudder.core.fleet;

import java.util.List;
import java.util.Optional;
import org.rattanrudder.core.gateway.WarmUpTraits;

/**
 * Decides whether targets get another request, by what they, their registrations and operators say.
 *
 * <p>Everything that sends to a target asks here: first attempts, retries, requests that have waited in a queue or for
 * a connection, and calls that are no requests.
 *
 * <p>All times are milliseconds of a monotonic clock.
 */
public final class TargetAdmission {
    private final Fleet fleet;
    private final WarmUpAdmission warmUps;
    private final RateLimitAdmission rateLimits;

    /** Creates an admission to the targets of a fleet. */
    public TargetAdmission(Fleet fleet, WarmUpAdmission warmUps, RateLimitAdmission rateLimits) {
        this.fleet = fleet;
        this.warmUps = warmUps;
        this.rateLimits = rateLimits;
    }

    /**
     * The targets that may get a request now.
     *
     * @param targets the targets
     * @param deferred whether others may get it later, once their limits admit it
     * @param rateLimited whether rate limits defer it, and not only warm-ups
     */
    public record Admitted(List<Target> targets, boolean deferred, boolean rateLimited) {}

    /** Returns the targets of a service that take requests, whether or not their limits admit another one now. */
    public List<Target> candidates(String service, long nowMillis) {
        return fleet.usableTargets(service, nowMillis);
    }

    /** Returns those of the candidates whose limits admit another request now. */
    public Admitted admitted(List<Target> candidates, Optional<WarmUpTraits> warmUp, long nowMillis) {
        List<Target> byWarmUp = warmUps.admitted(candidates, warmUp, nowMillis);
        List<Target> admitted = rateLimits.admitted(byWarmUp, nowMillis);
        return new Admitted(admitted, admitted.size() < candidates.size(), admitted.size() < byWarmUp.size());
    }

    /**
     * Returns why a request that was placed at a target may no longer be sent, if so: what was read or heard while its
     * connection opened holds too.
     */
    public Optional<String> reasonNotToSend(Target target, Optional<WarmUpTraits> warmUp, long nowMillis) {
        if (!fleet.isUsable(target)) {
            return Optional.of("no longer usable");
        }
        if (!warmUps.mayStillSend(target, warmUp, nowMillis)) {
            return Optional.of("warming up");
        }
        return rateLimits.mayStillSend(target, nowMillis) ? Optional.empty() : Optional.of("rate limited");
    }

    /** Returns whether the target takes calls that are no requests. */
    public boolean mayCall(Target target) {
        return fleet.find(target.id()).filter(target::equals).isPresent() && !target.isLeaving();
    }
}
