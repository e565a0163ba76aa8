package org.rattanrudder.core.quarantine;

import java.util.ArrayList;
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
    private int features;

    /** One start of a target. */
    private record TargetStart(String target, long startedAt) {}

    /** A crash with all requests that were in flight at the target. */
    static final class Crash {
        private final String target;
        private final long seenAt;
        private final Map<Set<Feature>, Long> requests = new HashMap<>();
        private final Set<Feature> answered = new HashSet<>();
        private long atMillis = Long.MAX_VALUE;
        private boolean seenLocally;
        private boolean seenSinceStart;

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

        /** Returns the requests that were in flight, each with the Unix time at which it was sent. */
        Map<Set<Feature>, Long> requests() {
            return requests;
        }

        /** Returns whether a relay that was there has said that requests with the feature used to be answered. */
        boolean wasAnswered(Feature feature) {
            return answered.contains(feature);
        }

        /** Returns the Unix time at which the last request with a feature was sent that was in flight. */
        long lastSentAt(Feature feature) {
            return requests.entrySet().stream()
                    .filter(request -> request.getKey().contains(feature))
                    .mapToLong(Map.Entry::getValue)
                    .max()
                    .orElse(Long.MIN_VALUE);
        }
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
        Crash crash = crashes.computeIfAbsent(
                new TargetStart(report.target(), report.startedAt()), unseen -> new Crash(report.target(), nowMillis));
        crash.atMillis = Math.min(crash.atMillis, report.atMillis());
        crash.seenLocally |= seenLocally;
        crash.seenSinceStart |= sinceStart;
        crash.answered.addAll(report.answered());
        for (TargetCrash.SuspectRequest request : report.requests()) {
            Long sent = crash.requests.put(request.features(), report.atMillis() - request.heldMillis());
            if (sent == null) {
                features += request.features().size();
            } else {
                crash.requests.merge(request.features(), sent, Math::max);
            }
        }
        Iterator<Crash> oldest = crashes.values().iterator();
        while (crashes.size() > MAX_CRASHES || features > MAX_FEATURES && crashes.size() > 1) {
            remove(oldest);
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
        return crashes.size() < before;
    }

    Collection<Crash> crashes() {
        return crashes.values();
    }

    boolean isEmpty() {
        return crashes.isEmpty();
    }

    /** Returns the specific features that were in flight, each with its crashes. */
    Map<Feature, List<Crash>> bySpecificFeature() {
        Map<Feature, List<Crash>> found = new HashMap<>();
        for (Crash crash : crashes.values()) {
            Set<Feature> there = new HashSet<>();
            crash.requests.keySet().forEach(there::addAll);
            there.stream()
                    .filter(Feature::isSpecific)
                    .forEach(feature -> found.computeIfAbsent(feature, unseen -> new ArrayList<>())
                            .add(crash));
        }
        return found;
    }
}
