package org.rattanrudder.core.quarantine;

import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Collects what relays report of crashes, within a bound. Reports of one crash are merged in any order. */
final class CrashEvidence {
    /** Maximum number of crashes; the oldest are evicted. */
    static final int MAX_CRASHES = 256;

    /** Maximum number of features, counted once for each request that was in flight. */
    static final int MAX_FEATURES = 50_000;

    private final Map<TargetStart, Crash> crashes = new LinkedHashMap<>();
    private final FeatureIndex index = new FeatureIndex();
    private int features;

    /** One start of a target. */
    private record TargetStart(String target, long startedAt) {}

    /** A crash with all requests that were in flight at the target. */
    static final class Crash {
        private final String target;
        private final long seenAt;
        private final Map<Set<Feature>, InFlightRequest> requests = new HashMap<>();
        private final BitSet requestNumbers = new BitSet();
        private final Set<Feature> answered = new HashSet<>();
        private long atMillis = Long.MAX_VALUE;
        private boolean seenLocally;
        private boolean seenSinceStart;
        private int number;

        private Crash(String target, long seenAt) {
            this.target = target;
            this.seenAt = seenAt;
        }

        /** Returns the target's ID. */
        String target() {
            return target;
        }

        /** Returns when this relay heard of it, on its monotonic clock. */
        long seenAt() {
            return seenAt;
        }

        /** Returns when it happened, as a Unix time. */
        long atMillis() {
            return atMillis;
        }

        /** Returns whether this relay saw it itself. */
        boolean isSeenLocally() {
            return seenLocally;
        }

        /** Returns whether it happened since this relay started. */
        boolean isSeenSinceStart() {
            return seenSinceStart;
        }

        /** Returns the requests that were in flight, by their features. */
        Map<Set<Feature>, InFlightRequest> requests() {
            return requests;
        }

        /** Returns the numbers of these requests in the index. */
        BitSet requestNumbers() {
            return requestNumbers;
        }

        /** Returns its number in the index. */
        int number() {
            return number;
        }

        void setNumber(int number) {
            this.number = number;
        }

        /** Returns whether a relay that was there has said that requests with the feature used to be answered. */
        boolean wasAnswered(Feature feature) {
            return answered.contains(feature);
        }
    }

    /** A request that was in flight at a crash. */
    static final class InFlightRequest {
        private final Crash crash;
        private final Set<Feature> features;
        private long sentAt;

        private InFlightRequest(Crash crash, Set<Feature> features, long sentAt) {
            this.crash = crash;
            this.features = features;
            this.sentAt = sentAt;
        }

        Crash crash() {
            return crash;
        }

        Set<Feature> features() {
            return features;
        }

        /** Returns when it was sent, as a Unix time; of several requests with the same features, when the last was. */
        long sentAt() {
            return sentAt;
        }
    }

    /** Returns the features that were in flight, in groups. */
    FeatureIndex index() {
        return index;
    }

    /** Returns the requests in a report of a crash that no earlier report of the same crash has named. */
    List<TargetCrash.SuspectRequest> newRequests(TargetCrash report) {
        Crash known = crashes.get(new TargetStart(report.target(), report.startedAt()));
        return report.requests().stream()
                .filter(request -> known == null || !known.requests.containsKey(request.features()))
                .toList();
    }

    /** Adds one relay's report of a crash. */
    void add(TargetCrash report, boolean seenLocally, boolean sinceStart, long nowMillis) {
        Crash crash = crashes.computeIfAbsent(new TargetStart(report.target(), report.startedAt()), unseen -> {
            Crash added = new Crash(report.target(), nowMillis);
            index.add(added);
            return added;
        });
        crash.atMillis = Math.min(crash.atMillis, report.atMillis());
        crash.seenLocally |= seenLocally;
        crash.seenSinceStart |= sinceStart;
        crash.answered.addAll(report.answered());
        for (TargetCrash.SuspectRequest request : report.requests()) {
            add(crash, request.features(), report.atMillis() - request.heldMillis());
        }
        index.onCrashChanged(crash);
        evict();
    }

    private void add(Crash crash, Set<Feature> requestFeatures, long sentAt) {
        InFlightRequest known = crash.requests.get(requestFeatures);
        if (known != null) {
            known.sentAt = Math.max(known.sentAt, sentAt);
            return;
        }
        InFlightRequest added = new InFlightRequest(crash, requestFeatures, sentAt);
        crash.requests.put(requestFeatures, added);
        features += requestFeatures.size();
        index.add(added);
    }

    private void evict() {
        Iterator<Crash> oldest = crashes.values().iterator();
        int before = crashes.size();
        while (crashes.size() > MAX_CRASHES || features > MAX_FEATURES && crashes.size() > 1) {
            remove(oldest);
        }
        if (crashes.size() < before) {
            index.onCrashesDropped();
        }
    }

    /** Returns whether a request with a cause was in flight at a crash from before this relay started. */
    boolean hasPastCrash(Cause cause) {
        return crashes.values().stream()
                .filter(crash -> !crash.isSeenSinceStart())
                .flatMap(crash -> crash.requests().keySet().stream())
                .anyMatch(cause::matches);
    }

    private void remove(Iterator<Crash> crash) {
        features -= crash.next().requests.keySet().stream().mapToInt(Set::size).sum();
        crash.remove();
    }

    /** Removes crashes that were heard of before a time; returns whether there were any. */
    boolean removeBefore(long seenAtMillis) {
        Iterator<Crash> oldest = crashes.values().iterator();
        int before = crashes.size();
        for (Crash crash : List.copyOf(crashes.values())) {
            if (crash.seenAt() > seenAtMillis) {
                break;
            }
            remove(oldest);
        }
        if (crashes.size() < before) {
            index.onCrashesDropped();
        }
        return crashes.size() < before;
    }

    Collection<Crash> crashes() {
        return crashes.values();
    }

    boolean isEmpty() {
        return crashes.isEmpty();
    }
}
