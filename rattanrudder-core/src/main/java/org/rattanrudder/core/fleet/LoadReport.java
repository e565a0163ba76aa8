package org.rattanrudder.core.fleet;

import java.util.List;
import java.util.OptionalDouble;
import java.util.stream.Stream;
import org.rattanrudder.core.parts.RetirementReport;
import org.rattanrudder.core.parts.StoreLateness;
import org.rattanrudder.core.rollout.VersionQuestion;
import org.rattanrudder.core.topics.LogPosition;

/**
 * The load that one relay has at the targets, as it reports it to its peers.
 *
 * @param relay the relay and its start
 * @param sequence increases with each report of the relay
 * @param full whether the targets are all those that it has requests at, or only those whose load has changed
 * @param targets the load at each target
 * @param weights the newest desired versions of weights that the relay knows
 * @param served targets that recently switched to the given weights
 * @param loading targets that the relay has ordered to load weights and that accept no requests meanwhile
 * @param unreachable targets that the relay failed to connect to recently
 * @param ready whether the relay accepts new connections
 * @param readPositions how far the relay has read the platform's logs
 * @param storeLateness lateness of fetches from context stores since the last full report to the same peer
 * @param rateLimits what this relay has seen of the rate limits of targets; only in full reports
 * @param leaving targets that leave, by their registrations or their responses; only in full reports
 * @param removed targets whose removal the relay has lately read while the log was available; only in full reports
 * @param retirement the weights whose parts the relay no longer fetches; only in full reports
 * @param question what the relay asks of the times of {@code weights}, and whose questions this report answers; only in
 *     full reports
 * @param intervalMillis the time until the next full report to the same peer; 0 in incremental reports
 */
public record LoadReport(
        String relay,
        long sequence,
        boolean full,
        List<TargetLoad> targets,
        List<KnownWeights> weights,
        List<ServedWeights> served,
        List<String> loading,
        List<String> unreachable,
        boolean ready,
        ReadPositions readPositions,
        List<StoreLateness> storeLateness,
        List<SeenRateLimit> rateLimits,
        List<LeavingTarget> leaving,
        List<RemovedTarget> removed,
        RetirementReport retirement,
        VersionQuestion question,
        long intervalMillis) {
    public LoadReport {
        targets = List.copyOf(targets);
        weights = List.copyOf(weights);
        served = List.copyOf(served);
        loading = List.copyOf(loading);
        unreachable = List.copyOf(unreachable);
        storeLateness = List.copyOf(storeLateness);
        rateLimits = List.copyOf(rateLimits);
        leaving = List.copyOf(leaving);
        removed = List.copyOf(removed);
    }

    /** Creates a report of load, readiness and read positions only. */
    public static LoadReport ofTargets(
            String relay, long sequence, boolean whole, List<TargetLoad> targets, boolean ready, ReadPositions readTo) {
        return new LoadReport(
                relay,
                sequence,
                whole,
                targets,
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                ready,
                readTo,
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                RetirementReport.NONE,
                VersionQuestion.NONE,
                0);
    }

    /**
     * Returns a copy for peers that get a full report at the given interval, with the lateness of fetches since the
     * last one.
     */
    public LoadReport withInterval(long millis, List<StoreLateness> newLate) {
        return new LoadReport(
                relay,
                sequence,
                full,
                targets,
                weights,
                served,
                loading,
                unreachable,
                ready,
                readPositions,
                newLate,
                rateLimits,
                leaving,
                removed,
                retirement,
                question,
                millis);
    }

    /**
     * How far a relay has read the platform's logs.
     *
     * @param desiredConfiguration up to where it has read the desired configuration
     * @param targetsChanged the position after the last relevant change of a target: added, draining, removed, or other
     * weights
     * @param quarantine up to where it has read or written quarantine records
     * @param relays up to where it has read the registrations of relays
     */
    public record ReadPositions(
            LogPosition desiredConfiguration, LogPosition targetsChanged, LogPosition quarantine, LogPosition relays) {
        /** Returns the newest era of the log that the relay has read from. */
        public long era() {
            return Stream.of(desiredConfiguration, targetsChanged, quarantine, relays)
                    .mapToLong(LogPosition::era)
                    .max()
                    .orElseThrow();
        }
    }

    /**
     * The weights that an incarnation of a target serves.
     *
     * @param target the target's id
     * @param startedAt when it started, see {@link TargetRegistration#startedAt}
     * @param model the model
     * @param version the version of the weights
     */
    public record ServedWeights(String target, long startedAt, String model, long version) {}

    /**
     * A desired version of weights.
     *
     * @param model the model
     * @param version the version
     * @param ageMillis for how long it can have been desired at most
     */
    public record KnownWeights(String model, long version, long ageMillis) {}

    /**
     * What a response to the relay said of the rate limit of its target.
     *
     * @param target the target's id
     * @param requestsPerSecond the requests a second that it takes from all relays together; empty if it named no limit
     * @param sentAgeMillis how long ago the request was sent
     * @param receivedAgeMillis how long ago the response arrived
     */
    public record SeenRateLimit(
            String target, OptionalDouble requestsPerSecond, long sentAgeMillis, long receivedAgeMillis) {}

    /**
     * An incarnation of a target that leaves.
     *
     * @param target the target's id
     * @param startedAt when it started, see {@link TargetRegistration#startedAt}
     */
    public record LeavingTarget(String target, long startedAt) {}

    /**
     * A target whose registration was removed.
     *
     * @param target the target's id
     * @param position the log position of the removal
     */
    public record RemovedTarget(String target, LogPosition position) {}

    /**
     * The load at one target.
     *
     * @param target the target's id
     * @param requests the number of requests
     * @param tokens the maximum memory that they need, in tokens
     * @param pendingPrefillTokens the prompt tokens whose prefill is pending
     */
    public record TargetLoad(String target, int requests, long tokens, long pendingPrefillTokens) {
        /** Returns an empty load. */
        static TargetLoad none(String target) {
            return new TargetLoad(target, 0, 0, 0);
        }

        /** Returns the sum of both loads. */
        TargetLoad plus(TargetLoad other) {
            return new TargetLoad(
                    target,
                    requests + other.requests,
                    tokens + other.tokens,
                    pendingPrefillTokens + other.pendingPrefillTokens);
        }
    }
}
