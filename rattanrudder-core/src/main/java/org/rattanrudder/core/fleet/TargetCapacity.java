package org.rattanrudder.core.fleet;

import java.util.Optional;
import java.util.OptionalInt;
import org.rattanrudder.core.fleet.FirstEventSample.CapacityAtSend;

/**
 * The estimate of how fast one target is now: what its service's targets usually reach, times a learned factor of this
 * target, times its pace.
 *
 * <p>Placement, send windows and expected times all use it. Where learned figures don't apply to the service (see
 * {@link ServiceCapacity}), it yields the expected figures, whatever was learned. It belongs to an incarnation: a
 * target that restarts starts with a new one.
 *
 * <p>All times are milliseconds of a monotonic clock.
 */
public final class TargetCapacity {
    /** Bounds of the whole estimate, so that no report or sample keeps a target from all requests for good. */
    private static final double MIN_SLOWDOWN = 0.25;

    private static final double MAX_SLOWDOWN = 10;

    private final ServiceCapacity service;
    private final ReportedPace pace;
    private final TargetFactor factor = new TargetFactor();
    private final Knee knee = new Knee();
    private int slots;

    /** Creates an estimate of a target of a service, whose registration says how many requests it runs at once. */
    TargetCapacity(ServiceCapacity service, int registeredSlots) {
        this.service = service;
        pace = service.newPace();
        slots = registeredSlots;
    }

    /** Records what the target reported of its slots and its pace. */
    void onReported(SelfReport.Load load, long nowMillis) {
        slots = load.slots().orElse(slots);
        if (load.pacePercent().isPresent()) {
            pace.onReported(load.pacePercent().getAsInt(), nowMillis);
            service.onPaceReported(nowMillis);
        }
    }

    /** Records the time to the first event of an engine's successful response. */
    public void onFirstEvent(FirstEventSample sample, long nowMillis) {
        if (!service.usesLearnedFigures(nowMillis)) {
            return;
        }
        double paceAfter = pace.at(nowMillis);
        if (service.isSettled()) {
            double expected = service.expectedMillis(sample) * sample.meanPace(paceAfter);
            double weight = service.weight(sample, paceAfter, slots);
            factor.record(sample.millisWithoutFetch(), expected, weight);
            knee.record(sample.before().requests(), slots, sample.millisWithoutFetch() / expected, weight, nowMillis);
        }
        service.record(sample, paceAfter, slots);
    }

    /**
     * Records how long a successful call of a plain service took, in ms.
     *
     * @param usualMillis how long such calls usually take, in ms
     */
    public void onCall(CapacityAtSend before, double millis, double usualMillis, long nowMillis) {
        if (service.usesLearnedFigures(nowMillis) && before.requests() < slots) {
            double expected = usualMillis * (before.pace() + pace.at(nowMillis)) / 2;
            factor.record(millis, expected, 1);
            knee.record(before.requests(), slots, millis / Math.max(1, expected), 1, nowMillis);
        }
    }

    /** Returns whether learned figures apply to its service; otherwise only expected figures do. */
    public boolean usesLearnedFigures(long nowMillis) {
        return service.usesLearnedFigures(nowMillis);
    }

    /** Returns how long work takes at the target now, as a multiple of what is usual in its service. */
    public double slowdown(long nowMillis) {
        return service.usesLearnedFigures(nowMillis)
                ? Math.max(MIN_SLOWDOWN, Math.min(MAX_SLOWDOWN, factor.value() * pace.at(nowMillis)))
                : 1;
    }

    /** Returns the prefill speed of the target now, in tokens/ms. */
    public double prefillTokensPerMilli(long nowMillis) {
        return service.prefillTokensPerMilli(nowMillis) / slowdown(nowMillis);
    }

    /** Returns the expected time to the first event at the target if it has no other work, in ms. */
    public double firstEventMillis(double prefillTokens, long nowMillis) {
        return (service.baseMillis(nowMillis) + prefillTokens / service.prefillTokensPerMilli(nowMillis))
                * slowdown(nowMillis);
    }

    /** Returns whether the target has so many requests that more of them make all of its work slower. */
    public boolean isBeyondKnee(int requests, long nowMillis) {
        return service.usesLearnedFigures(nowMillis) && requests >= knee.requests(slots, nowMillis);
    }

    /** Returns the figures of its service. */
    public ServiceCapacity service() {
        return service;
    }

    /** Returns how old the last report of a pace is, in ms; 0 if there was none. */
    public long paceAgeMillis(long nowMillis) {
        return pace.ageMillis(nowMillis);
    }

    /** Returns the expected pace, 1 for the usual one. */
    double pace(long nowMillis) {
        return pace.at(nowMillis);
    }

    /** Returns what determines the estimate; empty if only expected figures apply. */
    public Optional<CapacityEstimate> estimate(long nowMillis) {
        if (!service.usesLearnedFigures(nowMillis)) {
            return Optional.empty();
        }
        int knownKnee = knee.requests(slots, nowMillis);
        return Optional.of(new CapacityEstimate(
                pace.latestPercent(),
                pace.ageMillis(nowMillis),
                factor.value(),
                slowdown(nowMillis),
                service.prefillTokensPerMilli(nowMillis),
                service.baseMillis(nowMillis),
                knownKnee == Knee.NONE ? OptionalInt.empty() : OptionalInt.of(knownKnee)));
    }
}
