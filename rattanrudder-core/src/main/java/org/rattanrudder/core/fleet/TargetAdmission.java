package org.rattanrudder.core.fleet;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;
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

    /** Why a target gets a request only later. */
    public enum Deferral {
        /** It has rested, and one request tries whether it takes requests again. */
        AFTER_REST,
        /** It is warming up. */
        WARM_UP,
        /** It has named a rate limit. */
        RATE_LIMIT
    }

    /**
     * The targets that may get a request now.
     *
     * @param targets the targets
     * @param deferral why the last of the others gets it later; empty if there are no others
     */
    public record Admitted(List<Target> targets, Optional<Deferral> deferral) {}

    /** Returns the targets of a service that neither leave nor are evacuated; they may want rest. */
    public List<Target> usable(String service, long nowMillis) {
        return fleet.usableTargets(service, nowMillis);
    }

    /** Returns those targets that don't want rest. */
    public static List<Target> withoutResting(List<Target> targets, long nowMillis) {
        return only(targets, target -> !target.isResting(nowMillis));
    }

    /** Returns the targets that match; no copy if all do, since it is asked several times for each request. */
    private static List<Target> only(List<Target> targets, Predicate<Target> wanted) {
        for (Target target : targets) {
            if (!wanted.test(target)) {
                return targets.stream().filter(wanted).toList();
            }
        }
        return targets;
    }

    /** Returns the time until the first of the targets has rested, if all of them want rest. */
    public static OptionalLong restMillis(List<Target> targets, long nowMillis) {
        long first = Long.MAX_VALUE;
        for (Target target : targets) {
            if (!target.isResting(nowMillis)) {
                return OptionalLong.empty();
            }
            first = Math.min(first, target.restMillis(nowMillis));
        }
        return targets.isEmpty() ? OptionalLong.empty() : OptionalLong.of(first);
    }

    /** Returns those of the candidates whose limits admit another request now. */
    public Admitted admitted(List<Target> candidates, Optional<WarmUpTraits> warmUp, long nowMillis) {
        List<Target> byRest = only(candidates, target -> target.isAdmittedAfterRest(nowMillis));
        List<Target> byWarmUp = warmUps.admitted(byRest, warmUp, nowMillis);
        List<Target> admitted = rateLimits.admitted(byWarmUp, nowMillis);
        if (admitted.size() < byWarmUp.size()) {
            return new Admitted(admitted, Optional.of(Deferral.RATE_LIMIT));
        }
        if (admitted.size() < byRest.size()) {
            return new Admitted(admitted, Optional.of(Deferral.WARM_UP));
        }
        return new Admitted(
                admitted, admitted.size() < candidates.size() ? Optional.of(Deferral.AFTER_REST) : Optional.empty());
    }

    /**
     * Returns why a request that was placed at a target may no longer be sent, if so: what was read or heard while its
     * connection opened holds too.
     */
    public Optional<String> reasonNotToSend(Target target, Optional<WarmUpTraits> warmUp, long nowMillis) {
        if (!fleet.isUsable(target)) {
            return Optional.of("no longer usable");
        }
        if (target.isResting(nowMillis)) {
            return Optional.of("wants rest");
        }
        if (!warmUps.mayStillSend(target, warmUp, nowMillis)) {
            return Optional.of("warming up");
        }
        return rateLimits.mayStillSend(target, nowMillis) ? Optional.empty() : Optional.of("rate limited");
    }

    /** Returns whether the target takes calls that are no requests. */
    public boolean mayCall(Target target, long nowMillis) {
        return fleet.find(target.id()).filter(target::equals).isPresent()
                && !target.isLeaving()
                && !target.isResting(nowMillis);
    }
}
