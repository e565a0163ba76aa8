package org.rattanrudder.core.fleet;

import java.util.List;
import org.rattanrudder.core.parts.StoreLateness;

/**
 * The work that one relay has under way at the targets.
 *
 * @param relay the relay and its start
 * @param sequence increases with each message of the relay
 * @param full whether the targets are all that it has work at, or only those whose work has changed
 * @param targets the targets that it has work at
 * @param weights the newest versions of weights that it knows of
 * @param served targets that it lately saw serving other weights than before
 * @param loading targets that it has ordered to load weights, and that take no work meanwhile
 * @param unreachable targets to which it could open no connection lately
 * @param ready whether it takes new connections
 * @param readOffsets how far it has read the platform's records
 * @param storeLateness how late fetches from context stores were since it last told the same relay of all its work
 * @param intervalMillis the time until it next tells the same relay of all its work; 0 if only changed work is told
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
        ReadOffsets readOffsets,
        List<StoreLateness> storeLateness,
        long intervalMillis) {
    /** Takes copies of the lists. */
    public LoadReport {
        targets = List.copyOf(targets);
        weights = List.copyOf(weights);
        served = List.copyOf(served);
        loading = List.copyOf(loading);
        unreachable = List.copyOf(unreachable);
        storeLateness = List.copyOf(storeLateness);
    }

    /** Returns a message that tells of work, readiness and reading alone. */
    public static LoadReport ofTargets(
            String relay, long sequence, boolean whole, List<TargetLoad> targets, boolean ready, ReadOffsets readTo) {
        return new LoadReport(
                relay, sequence, whole, targets, List.of(), List.of(), List.of(), List.of(), ready, readTo, List.of(),
                0);
    }

    /** Returns the same message for relays that are told this often, with how late fetches were meanwhile. */
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
                readOffsets,
                newLate,
                millis);
    }

    /**
     * How far a relay has read the platform's records.
     *
     * @param desiredConfiguration the offset up to which it has read what operators want
     * @param targetsChanged the offset after the last change of a target that matters: come, leaving, gone, other
     *     weights
     * @param quarantine the offset up to which it has read, or written, what is held against requests
     */
    public record ReadOffsets(long desiredConfiguration, long targetsChanged, long quarantine) {}

    /**
     * The weights that a target serves.
     *
     * @param target the target's incarnation
     * @param model the model
     * @param version its version
     */
    public record ServedWeights(String target, String model, long version) {}

    /**
     * A version of weights that was named.
     *
     * @param model the model
     * @param version the version
     * @param ageMillis how long the relay has known of it
     */
    public record KnownWeights(String model, long version, long ageMillis) {}

    /**
     * The work at one target.
     *
     * @param target the target's incarnation
     * @param requests how many requests
     * @param tokens the memory that they take at most, in tokens
     * @param pendingPrefillTokens the tokens of prompts that are yet to be read
     */
    public record TargetLoad(String target, int requests, long tokens, long pendingPrefillTokens) {
        /** No work. */
        static TargetLoad none(String target) {
            return new TargetLoad(target, 0, 0, 0);
        }

        /** Returns the work of both. */
        TargetLoad plus(TargetLoad other) {
            return new TargetLoad(
                    target,
                    requests + other.requests,
                    tokens + other.tokens,
                    pendingPrefillTokens + other.pendingPrefillTokens);
        }
    }
}
