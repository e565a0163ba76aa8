package org.rattanrudder.core.quarantine;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.rattanrudder.core.quarantine.CrashEvidence.Crash;
import org.rattanrudder.core.quarantine.CrashEvidence.InFlightRequest;

/**
 * The features of crashes, those together that nothing tells apart.
 *
 * <p>Features of the same requests at the same crashes form a class, and those of a class with the same answers a
 * group. A prompt of hundreds of parts brings two or three groups, so that work on groups costs little however many
 * parts callers send. A new request splits the classes of its features only; a new answer moves its feature only.
 */
final class FeatureIndex {
    private final Map<Feature, FeatureClass> classes = new HashMap<>();
    private final Map<Feature, FeatureGroup> groups = new HashMap<>();
    private final List<Crash> crashes = new ArrayList<>();
    private final List<InFlightRequest> requests = new ArrayList<>();

    /** Classes of features that were at several crashes: one crash blames nothing. */
    private final Set<FeatureClass> recurring = new LinkedHashSet<>();

    /** Classes whose groups are worked out anew with the next refresh. */
    private final Set<FeatureClass> outdated = new LinkedHashSet<>();

    /** Features whose answers have changed since the last refresh. */
    private final Set<Feature> changedAnswers = new LinkedHashSet<>();

    /** The classes whose features all of some requests have, by the numbers of these requests. */
    private final Map<BitSet, List<FeatureClass>> classesInCommon = new HashMap<>();

    private final Map<InFlightRequest, List<FeatureClass>> classesOfRequests = new HashMap<>();

    /** Whether crashes were dropped: it is built anew with the next refresh, however many are dropped until then. */
    private boolean crashesDropped;

    /** Returns the crashes by their numbers. */
    List<Crash> crashes() {
        return crashes;
    }

    /** Returns the Unix time at which the last request with features was sent that was in flight at a crash. */
    long lastSentAt(FeatureGroup group, Crash crash) {
        return group.owner().lastSentAt(crash, requests);
    }

    /** Returns the numbers of the requests at crashes with given numbers. */
    BitSet requestsAt(BitSet crashNumbers) {
        BitSet found = new BitSet();
        crashNumbers.stream().forEach(number -> found.or(crashes.get(number).requestNumbers()));
        return found;
    }

    /** Adds a crash without requests. */
    void add(Crash crash) {
        crash.setNumber(crashes.size());
        crashes.add(crash);
    }

    /** Adds a request to a crash. */
    void add(InFlightRequest request) {
        if (crashesDropped) {
            return;
        }
        int number = requests.size();
        requests.add(request);
        request.crash().requestNumbers().set(number);
        classesOfRequests.clear();
        classesInCommon.clear();
        Map<FeatureClass, FeatureClass> joined = new IdentityHashMap<>();
        for (Feature feature : request.features()) {
            FeatureClass before = classes.getOrDefault(feature, FeatureClass.NONE);
            FeatureClass after = joined.computeIfAbsent(
                    before, each -> each.with(number, request.crash().number()));
            move(feature, before, after);
        }
        joined.forEach((before, after) -> {
            if (before.features().isEmpty()) {
                recurring.remove(before);
                outdated.remove(before);
            }
            outdated.add(after);
            if (after.isRecurring()) {
                recurring.add(after);
            }
        });
    }

    private void move(Feature feature, FeatureClass before, FeatureClass after) {
        FeatureGroup group = groups.remove(feature);
        if (group != null) {
            before.removeFrom(group, feature);
        }
        before.features().remove(feature);
        after.features().add(feature);
        classes.put(feature, after);
    }

    /** Handles that the time of a crash, or what was answered before it, may have changed. */
    void onCrashChanged(Crash crash) {
        if (crashesDropped) {
            return;
        }
        crash.requestNumbers().stream()
                .mapToObj(requests::get)
                .flatMap(request -> request.features().stream())
                .map(classes::get)
                .forEach(outdated::add);
    }

    /** Handles that a feature has a new answer, or that its answer was forgotten. */
    void onAnswerChanged(Feature feature) {
        if (classes.containsKey(feature)) {
            changedAnswers.add(feature);
        }
    }

    /** Handles that crashes were dropped from the evidence. */
    void onCrashesDropped() {
        crashesDropped = true;
    }

    private void rebuild(Collection<Crash> left) {
        crashesDropped = false;
        classes.clear();
        groups.clear();
        crashes.clear();
        requests.clear();
        recurring.clear();
        outdated.clear();
        changedAnswers.clear();
        classesOfRequests.clear();
        classesInCommon.clear();
        left.forEach(crash -> {
            crash.requestNumbers().clear();
            add(crash);
            crash.requests().values().forEach(this::add);
        });
    }

    /**
     * Applies what has changed since the last refresh to the groups.
     *
     * @param known all crashes that are known
     */
    void refresh(Collection<Crash> known, AnsweredFeatures answers) {
        if (crashesDropped) {
            rebuild(known);
        }
        for (FeatureClass each : outdated) {
            each.clear();
            each.features().forEach(feature -> place(feature, each, answers));
        }
        for (Feature feature : changedAnswers) {
            FeatureClass owner = classes.get(feature);
            if (!outdated.contains(owner)) {
                owner.removeFrom(groups.get(feature), feature);
                place(feature, owner, answers);
            }
        }
        outdated.clear();
        changedAnswers.clear();
    }

    private void place(Feature feature, FeatureClass owner, AnsweredFeatures answers) {
        groups.put(feature, owner.place(feature, answers.find(feature), crashes));
    }

    /** Returns the groups of features that were at several crashes. */
    Stream<FeatureGroup> recurringGroups() {
        return recurring.stream().flatMap(each -> each.groups().stream());
    }

    /** Returns the classes whose features all of some requests have, without those that were at one crash only. */
    List<FeatureClass> classesInCommon(BitSet requestNumbers) {
        return classesInCommon.computeIfAbsent(
                requestNumbers,
                numbers -> recurringClasses(shortest(numbers)).stream()
                        .filter(each -> BitSets.containsAll(each.requests(), numbers))
                        .toList());
    }

    private InFlightRequest shortest(BitSet numbers) {
        return numbers.stream()
                .mapToObj(requests::get)
                .min(Comparator.comparingInt(request -> request.features().size()))
                .orElseThrow();
    }

    private List<FeatureClass> recurringClasses(InFlightRequest request) {
        return classesOfRequests.computeIfAbsent(
                request,
                unseen -> unseen.features().stream()
                        .map(classes::get)
                        .filter(FeatureClass::isRecurring)
                        .distinct()
                        .toList());
    }

    /** Returns the group of a feature; null if it was at no crash. */
    FeatureGroup group(Feature feature) {
        return groups.get(feature);
    }

    /** Returns all groups. */
    Stream<FeatureGroup> allGroups() {
        return classes.values().stream().distinct().flatMap(each -> each.groups().stream());
    }
}
