package org.rattanrudder.core.quarantine;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.stream.Collectors;
import org.rattanrudder.core.quarantine.CrashEvidence.Crash;

/**
 * Rarer features that may explain the crashes of a cause in its place.
 *
 * <p>A feature that all requests share explains the crashes of several rarer causes just as well. Only a request that
 * has the cause and none of the rarer features tells which of both it is.
 *
 * @param features the rarer features that may be causes
 * @param isDoubtful whether they explain all crashes of the cause, or all but one
 */
record Alternatives(Set<Feature> features, boolean isDoubtful) {
    /** Number of crashes without a rarer feature from which on the cause itself is certain. */
    private static final int MIN_CERTAIN_CRASHES = 2;

    /** Number of crashes with a rarer feature from which on the cause is in doubt. */
    private static final int MIN_DOUBTFUL_CRASHES = 2;

    /**
     * Finds the alternatives to a cause among all crashes that are known.
     *
     * @param isSuspected whether a feature may have caused a crash by itself
     */
    static Alternatives of(Cause cause, Collection<Crash> crashes, BiPredicate<Feature, Crash> isSuspected) {
        List<Set<Feature>> rarerByCrash = crashes.stream()
                .filter(crash -> crash.requests().keySet().stream().anyMatch(cause::matches))
                .map(crash -> rarer(cause, crash, isSuspected))
                .toList();
        Map<Feature, Integer> counts = new HashMap<>();
        rarerByCrash.forEach(rarer -> rarer.forEach(feature -> counts.merge(feature, 1, Integer::sum)));
        long certain = rarerByCrash.stream()
                .filter(rarer -> rarer.stream().noneMatch(feature -> feature.isShared() || counts.get(feature) > 1))
                .count();
        boolean doubtful = certain < MIN_CERTAIN_CRASHES && rarerByCrash.size() - certain >= MIN_DOUBTFUL_CRASHES;
        return new Alternatives(Set.copyOf(counts.keySet()), doubtful);
    }

    private static Set<Feature> rarer(Cause cause, Crash crash, BiPredicate<Feature, Crash> isSuspected) {
        Set<Feature> present = new HashSet<>();
        crash.requests().keySet().stream().filter(cause::matches).forEach(present::addAll);
        return present.stream()
                .filter(Feature::isSpecific)
                .filter(feature -> !cause.features().contains(feature))
                .filter(feature -> isSuspected.test(feature, crash))
                .collect(Collectors.toSet());
    }

    /** Returns whether the outcome of a request with the cause distinguishes the cause from its alternatives. */
    boolean areDistinguishedBy(Collection<Feature> request) {
        return request.stream().noneMatch(features::contains);
    }
}
