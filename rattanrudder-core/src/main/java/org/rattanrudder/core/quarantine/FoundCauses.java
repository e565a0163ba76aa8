package org.rattanrudder.core.quarantine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.rattanrudder.core.quarantine.CauseFinder.Found;
import org.rattanrudder.core.quarantine.CrashEvidence.Crash;

/** The causes that a relay has found by its own evidence, as of the last update. */
final class FoundCauses {
    private final CrashEvidence evidence;
    private final AnsweredFeatures answers;

    /** Computed when needed and kept until the causes are found anew. */
    private final Map<Cause, Alternatives> alternatives = new HashMap<>();

    private CauseFinder finder;
    private List<Found> found = List.of();

    FoundCauses(CrashEvidence evidence, AnsweredFeatures answers) {
        this.evidence = evidence;
        this.answers = answers;
        finder = CauseFinder.find(evidence, answers);
    }

    /** Finds the causes anew; only those that meet a condition count. */
    void update(Predicate<Found> condition) {
        finder = CauseFinder.find(evidence, answers);
        alternatives.clear();
        found = finder.causes().stream()
                .filter(each -> each.cause().isSpecific())
                .filter(condition)
                .toList();
    }

    /** Returns the causes with what they rest on. */
    List<Found> all() {
        return found;
    }

    Stream<Cause> causes() {
        return found.stream().map(Found::cause);
    }

    boolean contains(Cause cause) {
        return causes().anyMatch(cause::equals);
    }

    /** Returns when this relay heard of the last crash of a cause; empty if it hasn't found it. */
    OptionalLong lastSeenAt(Cause cause) {
        return found.stream()
                .filter(each -> each.cause().equals(cause))
                .mapToLong(Found::lastSeenAt)
                .findFirst();
    }

    /** Returns the targets whose crashes a cause is blamed for. */
    List<String> crashedTargets(Cause cause) {
        return found.stream()
                .filter(each -> each.cause().equals(cause))
                .flatMap(each -> each.crashes().stream())
                .map(Crash::target)
                .distinct()
                .toList();
    }

    /** Returns what may explain the crashes of a cause in its place. */
    Alternatives alternativesTo(Cause cause) {
        return alternatives.computeIfAbsent(cause, finder::alternativesTo);
    }

    /** Returns whether a feature may be the cause of a crash. */
    boolean isSuspected(Feature feature) {
        return finder.isSuspected(feature);
    }

    /** Returns the number of crashes that a feature may be the cause of. */
    int suspectedCrashes(Feature feature) {
        return finder.suspectedCrashes(feature);
    }

    /** Returns the number of features that may be the cause of a crash. */
    int suspectCount() {
        return finder.suspectCount();
    }

    /** Returns whether one more crash may put a feature to blame. */
    boolean isNearlyBlamed(Feature feature) {
        return finder.isNearlyBlamed(feature);
    }
}
