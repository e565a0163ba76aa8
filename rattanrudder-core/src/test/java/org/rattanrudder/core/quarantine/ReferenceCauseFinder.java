package org.rattanrudder.core.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.rattanrudder.core.quarantine.CrashEvidence.Crash;

/**
 * Finds the same causes as {@link CauseFinder} feature by feature, as the rules are written; its cost grows with the
 * square of the number of features.
 *
 * <p>The feature at most crashes comes first; the crashes that it explains then count against no other feature, since
 * whatever was in flight beside the cause was at them too. What all requests with the feature had in common at its
 * crashes is blamed together. The result depends on the reports alone and not on their order.
 *
 * <p>One event may end many targets at once, each with requests that have a popular feature. Crashes therefore count
 * one after the other: the request at the next one was sent after the one before.
 */
final class ReferenceCauseFinder {
    /** How many more crashes a feature that used to be answered must explain than one that wasn't. */
    private static final int MIN_FURTHER_CRASHES = 2;

    /** Time in which a feature that used to be answered, and still is, has another answer. */
    private static final long MIN_ANSWERED_SPAN_MILLIS = 3 * Quarantine.RUNNING_MILLIS;

    private final CrashEvidence evidence;
    private final AnsweredFeatures answers;
    private final Map<Feature, List<Crash>> crashesByFeature;
    private final Set<Crash> unexplained;
    private final List<Found> causes = new ArrayList<>();
    private final Set<Feature> nearlyBlamed = new HashSet<>();

    /**
     * A cause with what it rests on.
     *
     * @param cause the cause
     * @param crashes its crashes
     */
    record Found(Cause cause, List<Crash> crashes) {}

    /** A feature that is to blame for crashes that nothing else explains. */
    private record Candidate(Feature feature, List<Crash> crashes) {}

    private ReferenceCauseFinder(CrashEvidence evidence, AnsweredFeatures answers) {
        this.evidence = evidence;
        this.answers = answers;
        crashesByFeature = suspectedCrashes();
        unexplained = new LinkedHashSet<>(evidence.crashes());
    }

    /** Finds the causes of all crashes that are known. */
    static ReferenceCauseFinder find(CrashEvidence evidence, AnsweredFeatures answers) {
        ReferenceCauseFinder finder = new ReferenceCauseFinder(evidence, answers);
        finder.explain(false);
        finder.collectNearlyBlamed();
        finder.explain(true);
        return finder;
    }

    /** Returns the causes. */
    List<Found> causes() {
        return causes;
    }

    /** Returns the features that one more crash may put to blame. */
    Set<Feature> nearlyBlamed() {
        return nearlyBlamed;
    }

    /** Returns the features that no answer has cleared, each with its crashes since. */
    Map<Feature, List<Crash>> crashesByFeature() {
        return crashesByFeature;
    }

    private Map<Feature, List<Crash>> suspectedCrashes() {
        Map<Feature, List<Crash>> found = new HashMap<>();
        bySpecificFeature().forEach((feature, crashes) -> {
            List<Crash> suspected = crashes.stream()
                    .filter(crash -> isSuspected(feature, crash))
                    .toList();
            if (!suspected.isEmpty()) {
                found.put(feature, suspected);
            }
        });
        return found;
    }

    private boolean isSuspected(Feature feature, Crash crash) {
        return crash.atMillis() > answers.clearsUpTo(feature);
    }

    private boolean wasAnswered(Feature feature, Crash crash) {
        return crash.wasAnswered(feature) || answers.wasAnswered(feature, crash.seenAt());
    }

    /** Finds causes, either only among features that weren't answered before the crashes, or among all. */
    private void explain(boolean answeredBefore) {
        while (true) {
            List<Candidate> candidates = candidates(answeredBefore);
            if (candidates.isEmpty()) {
                return;
            }
            Optional<Candidate> wider = answeredBefore ? Optional.empty() : widerThan(candidates.get(0));
            if (wider.isPresent()) {
                blame(wider.get(), candidates(true), true);
            } else {
                blame(narrowest(candidates, answeredBefore), candidates, answeredBefore);
            }
        }
    }

    /**
     * Returns a feature that used to be answered and explains the same crashes and more. A request that is repeated
     * after each crash stands beside such a cause again and again.
     */
    private Optional<Candidate> widerThan(Candidate candidate) {
        return candidates(true).stream()
                .filter(each -> each.crashes().size() >= candidate.crashes().size() + MIN_FURTHER_CRASHES)
                .filter(each -> each.crashes().containsAll(candidate.crashes()))
                .findFirst();
    }

    /**
     * Returns the first candidate, or one that has more in common and leaves no crash without a cause: a popular
     * feature beside a cause is at the crashes of other causes too.
     */
    private Candidate narrowest(List<Candidate> candidates, boolean answeredBefore) {
        Candidate first = candidates.get(0);
        Set<Feature> common = common(first, answeredBefore);
        return candidates.stream()
                .filter(each -> first.crashes().containsAll(each.crashes()))
                .filter(each -> isWithin(common, common(each, answeredBefore)))
                .filter(each -> areExplainedBeside(first, each, candidates))
                .findFirst()
                .orElse(first);
    }

    /** Returns whether the crashes of the wider candidate that the narrower one doesn't explain have other causes. */
    private static boolean areExplainedBeside(Candidate wider, Candidate narrower, List<Candidate> candidates) {
        Set<Crash> elsewhere = candidates.stream()
                .filter(each -> !wider.crashes().containsAll(each.crashes()))
                .flatMap(each -> each.crashes().stream())
                .collect(Collectors.toSet());
        return wider.crashes().stream()
                .allMatch(crash -> narrower.crashes().contains(crash) || elsewhere.contains(crash));
    }

    private static boolean isWithin(Set<Feature> smaller, Set<Feature> larger) {
        return larger.size() > smaller.size() && larger.containsAll(smaller);
    }

    /** Blames a feature, or what can't be told from it, unless it is better to wait for another crash. */
    private void blame(Candidate best, List<Candidate> candidates, boolean answeredBefore) {
        List<Set<Feature>> equal = largest(candidates.stream()
                .filter(each -> each.crashes().equals(best.crashes()))
                .map(each -> common(each, answeredBefore))
                .distinct()
                .toList());
        if (equal.size() == 1 || best.crashes().size() >= Quarantine.MOST_CRASHES) {
            boolean anyOf = oneAfterTheOther(best) >= Quarantine.ANY_OF_CRASHES;
            equal.forEach(
                    features -> causes.add(new Found(new Cause(features, anyOf, answeredBefore), best.crashes())));
        } else {
            equal.forEach(nearlyBlamed::addAll);
        }
        best.crashes().forEach(unexplained::remove);
    }

    /** Returns the sets that no other one contains: larger ones explain the same crashes and spare more requests. */
    private static List<Set<Feature>> largest(List<Set<Feature>> sets) {
        return sets.stream()
                .filter(set -> sets.stream().noneMatch(other -> other != set && other.containsAll(set)))
                .toList();
    }

    /** Returns the features that are to blame for crashes which are left, the one of most crashes first. */
    private List<Candidate> candidates(boolean answeredBefore) {
        return crashesByFeature.entrySet().stream()
                .filter(entry -> entry.getValue().size() >= Quarantine.CRASH_THRESHOLD)
                .map(entry -> new Candidate(entry.getKey(), left(entry.getKey(), entry.getValue(), answeredBefore)))
                .filter(candidate -> isToBlame(candidate, answeredBefore))
                .sorted(Comparator.comparingInt(
                                (Candidate candidate) -> -candidate.crashes().size())
                        .thenComparing(Candidate::feature))
                .toList();
    }

    private List<Crash> left(Feature feature, List<Crash> crashes, boolean answeredBefore) {
        return crashes.stream()
                .filter(unexplained::contains)
                .filter(crash -> answeredBefore || !wasAnswered(feature, crash))
                .toList();
    }

    private static boolean isToBlame(Candidate candidate, boolean answeredBefore) {
        int count = candidate.crashes().size();
        if (candidate.crashes().stream().noneMatch(Crash::isSeenSinceStart)) {
            return false;
        }
        int inTurn = oneAfterTheOther(candidate);
        if (answeredBefore) {
            return count >= Quarantine.MOST_CRASHES
                    && inTurn >= Quarantine.MOST_CRASHES - 1
                    && spanMillis(candidate) >= MIN_ANSWERED_SPAN_MILLIS;
        }
        return inTurn >= Quarantine.CRASH_THRESHOLD || count >= Quarantine.MOST_CRASHES && inTurn > 1;
    }

    private static long spanMillis(Candidate candidate) {
        LongSummaryStatistics times =
                candidate.crashes().stream().mapToLong(Crash::atMillis).summaryStatistics();
        return times.getMax() - times.getMin();
    }

    /** Returns the most crashes of a feature of which each began with a request sent after the one before. */
    private static int oneAfterTheOther(Candidate candidate) {
        List<Crash> inOrder = candidate.crashes().stream()
                .sorted(Comparator.comparingLong(Crash::atMillis))
                .toList();
        int count = 0;
        long lastAt = Long.MIN_VALUE;
        for (Crash crash : inOrder) {
            if (lastSentAt(crash, candidate.feature()) >= lastAt) {
                count++;
                lastAt = crash.atMillis();
            }
        }
        return count;
    }

    private static long lastSentAt(Crash crash, Feature feature) {
        return crash.requests().values().stream()
                .filter(request -> request.features().contains(feature))
                .mapToLong(CrashEvidence.InFlightRequest::sentAt)
                .max()
                .orElse(Long.MIN_VALUE);
    }

    private Map<Feature, List<Crash>> bySpecificFeature() {
        Map<Feature, List<Crash>> found = new HashMap<>();
        for (Crash crash : evidence.crashes()) {
            Set<Feature> there = new HashSet<>();
            crash.requests().keySet().forEach(there::addAll);
            there.stream()
                    .filter(Feature::isSpecific)
                    .forEach(feature -> found.computeIfAbsent(feature, unseen -> new ArrayList<>())
                            .add(crash));
        }
        return found;
    }

    /** Returns what all requests with a feature had in common at its crashes, without what has been answered. */
    private Set<Feature> common(Candidate candidate, boolean answeredBefore) {
        Set<Feature> common = null;
        for (Crash crash : candidate.crashes()) {
            for (Set<Feature> request : crash.requests().keySet()) {
                if (!request.contains(candidate.feature())) {
                    continue;
                }
                Set<Feature> suspected = request.stream()
                        .filter(feature ->
                                isSuspected(feature, crash) && (answeredBefore || !wasAnswered(feature, crash)))
                        .collect(Collectors.toSet());
                if (common == null) {
                    common = new HashSet<>(suspected);
                } else {
                    common.retainAll(suspected);
                }
            }
        }
        return common;
    }

    private void collectNearlyBlamed() {
        crashesByFeature.forEach((feature, crashes) -> {
            List<Crash> left = left(feature, crashes, false);
            if (oneAfterTheOther(new Candidate(feature, left)) >= Quarantine.CRASH_THRESHOLD - 1) {
                nearlyBlamed.add(feature);
            }
        });
    }
}
