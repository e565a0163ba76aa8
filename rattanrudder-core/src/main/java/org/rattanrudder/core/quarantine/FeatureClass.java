package org.rattanrudder.core.quarantine;

import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.rattanrudder.core.quarantine.CrashEvidence.Crash;
import org.rattanrudder.core.quarantine.CrashEvidence.InFlightRequest;

/** Features that the same requests had at all crashes. */
final class FeatureClass {
    /** Stands for features that were at no crash. */
    static final FeatureClass NONE = new FeatureClass(new BitSet(), new BitSet());

    private final BitSet requests;
    private final BitSet crashes;
    private final Set<Feature> features = new HashSet<>();
    private final Map<Status, FeatureGroup> groups = new HashMap<>();
    private final Map<Integer, Long> lastSentAt = new HashMap<>();

    /**
     * What tells features of a class apart.
     *
     * @param specific whether they may be causes by themselves
     * @param suspected the numbers of the crashes that no answer has cleared them of
     * @param answered the numbers of the crashes before which they used to be answered
     */
    record Status(boolean specific, BitSet suspected, BitSet answered) {}

    private FeatureClass(BitSet requests, BitSet crashes) {
        this.requests = requests;
        this.crashes = crashes;
    }

    /** Returns a class without features for those of them that one more request has. */
    FeatureClass with(int request, int crash) {
        FeatureClass joined = new FeatureClass((BitSet) requests.clone(), (BitSet) crashes.clone());
        joined.requests.set(request);
        joined.crashes.set(crash);
        return joined;
    }

    /** Returns the numbers of the requests that have the features. */
    BitSet requests() {
        return requests;
    }

    Set<Feature> features() {
        return features;
    }

    boolean isRecurring() {
        return crashes.cardinality() > 1;
    }

    Collection<FeatureGroup> groups() {
        return groups.values();
    }

    /** Forgets what depends on times and answers. */
    void clear() {
        groups.clear();
        lastSentAt.clear();
    }

    /** Returns the Unix time at which the last request with the features was sent that was in flight at a crash. */
    long lastSentAt(Crash crash, List<InFlightRequest> known) {
        return lastSentAt.computeIfAbsent(
                crash.number(),
                unseen -> BitSets.intersection(requests, crash.requestNumbers()).stream()
                        .mapToLong(number -> known.get(number).sentAt())
                        .max()
                        .orElse(Long.MIN_VALUE));
    }

    /** Puts a feature into the group of those with the same answers, and returns that group. */
    FeatureGroup place(Feature feature, AnsweredFeatures.Answer answer, List<Crash> known) {
        BitSet suspected = new BitSet();
        BitSet answered = new BitSet();
        crashes.stream().forEach(number -> {
            Crash crash = known.get(number);
            suspected.set(number, !answer.clears(crash.atMillis()));
            answered.set(number, crash.wasAnswered(feature) || answer.isSince(crash.seenAt()));
        });
        FeatureGroup group = groups.computeIfAbsent(
                new Status(feature.isSpecific(), suspected, answered), status -> new FeatureGroup(this, status));
        group.features().add(feature);
        return group;
    }

    void removeFrom(FeatureGroup group, Feature feature) {
        group.features().remove(feature);
        if (group.features().isEmpty()) {
            groups.remove(group.status());
        }
    }
}
