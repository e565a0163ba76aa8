package org.rattanrudder.core.quarantine;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.rattanrudder.core.quarantine.CrashEvidence.Crash;

/**
 * Finds the smallest sets of features that explain a number of crashes.
 *
 * <p>The feature at most crashes comes first; the crashes that it explains then count against no other feature, since
 * whatever was in flight beside the cause was at them too. What all requests with the feature had in common at its
 * crashes is blamed together. The result depends on the reports alone and not on their order.
 *
 * <p>One event may end many targets at once, each with requests that have a popular feature. Crashes therefore count
 * one after the other: the request at the next one was sent after the one before.
 */
final class CauseFinder {
    /** How many more crashes a feature that used to be answered must explain than one that wasn't. */
    private static final int MIN_FURTHER_CRASHES = 2;

    /** Time in which a feature that used to be answered, and still is, has another answer. */
    private static final long MIN_ANSWERED_SPAN_MILLIS = 3 * Quarantine.RUNNING_MILLIS;

    private final CrashEvidence evidence;
    private final AnsweredFeatures answers;
    private final FeatureIndex index;

    /** The numbers of the crashes, by their times. */
    private final int[] inOrder;

    /** The numbers of the crashes that nothing explains yet. */
    private final BitSet unexplained;

    /** The numbers of the crashes since this relay started. */
    private final BitSet seenSinceStart = new BitSet();

    private final List<Found> causes = new ArrayList<>();
    private final Set<FeatureGroup> nearlyBlamed = new HashSet<>();

    /** What requests have in common; kept while the causes are found. */
    private final Map<Requests, Set<FeatureGroup>> common = new HashMap<>();

    /**
     * A cause with what it rests on.
     *
     * @param cause the cause
     * @param crashes its crashes
     */
    record Found(Cause cause, List<Crash> crashes) {
        /** Returns when this relay heard of the last of its crashes. */
        long lastSeenAt() {
            return crashes.stream().mapToLong(Crash::seenAt).max().orElse(0);
        }

        /** Returns whether this relay saw one of its crashes. */
        boolean isSeenLocally() {
            return crashes.stream().anyMatch(Crash::isSeenLocally);
        }
    }

    /** Features that are to blame for crashes that nothing else explains, with the numbers of these crashes. */
    private record Candidate(FeatureGroup group, BitSet crashes) {
        boolean explains(Candidate other) {
            return BitSets.containsAll(crashes, other.crashes);
        }
    }

    /** The numbers of requests, and whether what used to be answered counts as something that they have in common. */
    private record Requests(BitSet numbers, boolean answeredBefore) {}

    private CauseFinder(CrashEvidence evidence, AnsweredFeatures answers) {
        this.evidence = evidence;
        this.answers = answers;
        index = evidence.index();
        List<Crash> crashes = index.crashes();
        inOrder = crashes.stream()
                .sorted(Comparator.comparingLong(Crash::atMillis))
                .mapToInt(Crash::number)
                .toArray();
        unexplained = new BitSet();
        unexplained.set(0, crashes.size());
        crashes.forEach(crash -> seenSinceStart.set(crash.number(), crash.isSeenSinceStart()));
    }

    /** Finds the causes of all crashes that are known. */
    static CauseFinder find(CrashEvidence evidence, AnsweredFeatures answers) {
        evidence.index().refresh(evidence.crashes(), answers);
        CauseFinder finder = new CauseFinder(evidence, answers);
        finder.explain(false);
        finder.collectNearlyBlamed();
        finder.explain(true);
        finder.common.clear();
        return finder;
    }

    /** Returns the causes. */
    List<Found> causes() {
        return causes;
    }

    /** Returns whether one more crash may put a feature to blame. */
    boolean isNearlyBlamed(Feature feature) {
        return nearlyBlamed.contains(index.group(feature));
    }

    /** Returns whether a feature may be the cause of a crash. */
    boolean isSuspected(Feature feature) {
        FeatureGroup group = index.group(feature);
        return group != null && group.isSuspected();
    }

    /** Returns the number of crashes that a feature may be the cause of. */
    int suspectedCrashes(Feature feature) {
        return isSuspected(feature) ? index.group(feature).suspectedCrashes() : 0;
    }

    /** Returns the number of features that may be the cause of a crash. */
    int suspectCount() {
        return index.allGroups()
                .filter(FeatureGroup::isSuspected)
                .mapToInt(group -> group.features().size())
                .sum();
    }

    /** Returns what may explain the crashes of a cause in its place. */
    Alternatives alternativesTo(Cause cause) {
        return Alternatives.of(
                cause,
                evidence.crashes(),
                (feature, crash) -> isSuspected(feature, crash) && !wasAnswered(feature, crash));
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
                .filter(each ->
                        each.crashes().cardinality() >= candidate.crashes().cardinality() + MIN_FURTHER_CRASHES)
                .filter(each -> each.explains(candidate))
                .findFirst();
    }

    /**
     * Returns the first candidate, or one that has more in common and leaves no crash without a cause: a popular
     * feature beside a cause is at the crashes of other causes too.
     */
    private Candidate narrowest(List<Candidate> candidates, boolean answeredBefore) {
        Candidate first = candidates.get(0);
        Set<FeatureGroup> shared = common(first, answeredBefore);
        int count = countFeatures(shared);
        BitSet elsewhere = explainedBeside(first, candidates);
        return candidates.stream()
                .filter(first::explains)
                .filter(each -> areExplainedBeside(first, each, elsewhere))
                .filter(each -> isWithin(shared, count, common(each, answeredBefore)))
                .findFirst()
                .orElse(first);
    }

    /** Returns the crashes of the candidates that don't explain a subset of those of a wider one. */
    private static BitSet explainedBeside(Candidate wider, List<Candidate> candidates) {
        BitSet elsewhere = new BitSet();
        candidates.stream().filter(each -> !wider.explains(each)).forEach(each -> elsewhere.or(each.crashes()));
        return elsewhere;
    }

    /** Returns whether the crashes of the wider candidate that the narrower one doesn't explain have other causes. */
    private static boolean areExplainedBeside(Candidate wider, Candidate narrower, BitSet elsewhere) {
        BitSet left = (BitSet) wider.crashes().clone();
        left.andNot(narrower.crashes());
        left.andNot(elsewhere);
        return left.isEmpty();
    }

    private static boolean isWithin(Set<FeatureGroup> smaller, int smallerCount, Set<FeatureGroup> larger) {
        return countFeatures(larger) > smallerCount && larger.containsAll(smaller);
    }

    private static int countFeatures(Set<FeatureGroup> groups) {
        return groups.stream().mapToInt(group -> group.features().size()).sum();
    }

    /** Blames features, or what can't be told from them, unless it is better to wait for another crash. */
    private void blame(Candidate best, List<Candidate> candidates, boolean answeredBefore) {
        List<Set<FeatureGroup>> equal = largest(candidates.stream()
                .filter(each -> each.crashes().equals(best.crashes()))
                .map(each -> common(each, answeredBefore))
                .distinct()
                .toList());
        if (equal.size() == 1 || best.crashes().cardinality() >= Quarantine.MOST_CRASHES) {
            boolean anyOf = oneAfterTheOther(best) >= Quarantine.ANY_OF_CRASHES;
            List<Crash> crashes = crashes(best);
            equal.forEach(
                    groups -> causes.add(new Found(new Cause(featuresOf(groups), anyOf, answeredBefore), crashes)));
        } else {
            equal.forEach(nearlyBlamed::addAll);
        }
        unexplained.andNot(best.crashes());
    }

    private List<Crash> crashes(Candidate candidate) {
        return candidate.crashes().stream().mapToObj(index.crashes()::get).toList();
    }

    private static Set<Feature> featuresOf(Set<FeatureGroup> groups) {
        return groups.stream().flatMap(group -> group.features().stream()).collect(Collectors.toSet());
    }

    /** Returns the sets that no other one contains: larger ones explain the same crashes and spare more requests. */
    private static List<Set<FeatureGroup>> largest(List<Set<FeatureGroup>> sets) {
        Map<FeatureGroup, List<Set<FeatureGroup>>> byGroup = new HashMap<>();
        sets.forEach(set -> set.forEach(group ->
                byGroup.computeIfAbsent(group, unseen -> new ArrayList<>()).add(set)));
        return sets.stream()
                .filter(set -> byGroup.get(set.iterator().next()).stream()
                        .noneMatch(other -> other.size() > set.size() && other.containsAll(set)))
                .toList();
    }

    /** Returns the features that are to blame for crashes which are left, those of most crashes first. */
    private List<Candidate> candidates(boolean answeredBefore) {
        return index.recurringGroups()
                .filter(FeatureGroup::isSuspected)
                .filter(group -> group.suspectedCrashes() >= Quarantine.CRASH_THRESHOLD)
                .map(group -> new Candidate(group, left(group, answeredBefore)))
                .filter(candidate -> isToBlame(candidate, answeredBefore))
                .sorted(Comparator.comparingInt(
                                (Candidate candidate) -> -candidate.crashes().cardinality())
                        .thenComparing(candidate -> candidate.group().features().first()))
                .toList();
    }

    private BitSet left(FeatureGroup group, boolean answeredBefore) {
        return BitSets.intersection(group.suspected(answeredBefore), unexplained);
    }

    private boolean isToBlame(Candidate candidate, boolean answeredBefore) {
        int count = candidate.crashes().cardinality();
        if (count < Quarantine.CRASH_THRESHOLD || !candidate.crashes().intersects(seenSinceStart)) {
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

    private long spanMillis(Candidate candidate) {
        LongSummaryStatistics times =
                crashes(candidate).stream().mapToLong(Crash::atMillis).summaryStatistics();
        return times.getMax() - times.getMin();
    }

    /** Returns the most crashes of features of which each began with a request sent after the one before. */
    private int oneAfterTheOther(Candidate candidate) {
        int count = 0;
        long lastAt = Long.MIN_VALUE;
        for (int number : inOrder) {
            if (!candidate.crashes().get(number)) {
                continue;
            }
            Crash crash = index.crashes().get(number);
            if (index.lastSentAt(candidate.group(), crash) >= lastAt) {
                count++;
                lastAt = crash.atMillis();
            }
        }
        return count;
    }

    /** Returns what all requests with a feature had in common at its crashes, without what has been answered. */
    private Set<FeatureGroup> common(Candidate candidate, boolean answeredBefore) {
        BitSet requests = BitSets.intersection(candidate.group().requests(), index.requestsAt(candidate.crashes()));
        return common.computeIfAbsent(
                new Requests(requests, answeredBefore),
                unseen -> index.classesInCommon(requests).stream()
                        .flatMap(each -> each.groups().stream())
                        .filter(group -> BitSets.containsAll(group.suspected(answeredBefore), candidate.crashes()))
                        .collect(Collectors.toSet()));
    }

    private void collectNearlyBlamed() {
        index.recurringGroups()
                .filter(FeatureGroup::isSuspected)
                .filter(group ->
                        oneAfterTheOther(new Candidate(group, left(group, false))) >= Quarantine.CRASH_THRESHOLD - 1)
                .forEach(nearlyBlamed::add);
    }
}
