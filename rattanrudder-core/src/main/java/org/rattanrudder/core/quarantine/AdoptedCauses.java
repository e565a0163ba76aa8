package org.rattanrudder.core.quarantine;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.rattanrudder.core.quarantine.TargetCrash.SuspectRequest;

/**
 * Causes that a relay knows from shared records and not from its own evidence, and those whose quarantine has lapsed.
 */
final class AdoptedCauses {
    /** Age from which on a record is removed since its quarantine is over; relays hear of it at different times. */
    private static final long EXPIRING_MILLIS = Quarantine.QUARANTINE_MILLIS - Quarantine.CLEARED_MILLIS;

    private final AnsweredFeatures answers;
    private final Map<Cause, Adopted> adopted = new HashMap<>();
    private final Map<Cause, Long> lapsed = new HashMap<>();

    /** A cause that this relay knows from a shared record. */
    private record Adopted(long sinceMillis, boolean foundAtStart) {}

    AdoptedCauses(AnsweredFeatures answers) {
        this.answers = answers;
    }

    /** Returns the causes that are known from shared records. */
    Set<Cause> causes() {
        return adopted.keySet();
    }

    boolean contains(Cause cause) {
        return adopted.containsKey(cause);
    }

    /** Returns whether nothing is known, and nothing has lapsed. */
    boolean isEmpty() {
        return adopted.isEmpty() && lapsed.isEmpty();
    }

    /** Returns since when a cause is known. */
    long since(Cause cause) {
        return adopted.get(cause).sinceMillis();
    }

    /** Returns whether the record of a cause was written before this relay started. */
    boolean isFoundAtStart(Cause cause) {
        return adopted.get(cause).foundAtStart();
    }

    /** Adopts a cause unless it is known. */
    void adopt(Cause cause, boolean foundAtStart, long nowMillis) {
        adopted.putIfAbsent(cause, new Adopted(nowMillis, foundAtStart));
    }

    /** Returns the causes whose quarantine is over. */
    List<Cause> expired(long nowMillis) {
        return adopted.entrySet().stream()
                .filter(entry -> nowMillis - entry.getValue().sinceMillis() >= Quarantine.QUARANTINE_MILLIS)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Ends the quarantine of a cause; its next crash quarantines it anew. */
    void lapse(Cause cause, long nowMillis) {
        adopted.remove(cause);
        lapsed.put(cause, nowMillis);
    }

    /** Handles that the record of a cause was withdrawn. */
    void onRecordWithdrawn(Cause cause, long nowMillis) {
        Adopted known = adopted.remove(cause);
        if (known != null && nowMillis - known.sinceMillis() >= EXPIRING_MILLIS) {
            lapsed.put(cause, nowMillis);
        }
    }

    /** Forgets what has lapsed long ago. */
    void expireLapsed(long nowMillis) {
        lapsed.values().removeIf(since -> nowMillis - since >= Quarantine.QUARANTINE_MILLIS);
    }

    boolean hasLapsed(Cause cause) {
        return lapsed.containsKey(cause);
    }

    /** Returns when the quarantine of a cause lapsed; empty if it didn't. */
    Optional<Long> lapsedAt(Cause cause) {
        return Optional.ofNullable(lapsed.get(cause));
    }

    /** Adopts anew the lapsed causes that requests at a crash have. */
    void onCrash(List<SuspectRequest> requests, boolean seenLocally, long nowMillis) {
        for (Cause cause : List.copyOf(lapsed.keySet())) {
            if (requests.stream().anyMatch(request -> isMatchedAgain(cause, request.features(), nowMillis))) {
                lapsed.remove(cause);
                adopted.put(withoutAnswered(cause, nowMillis), new Adopted(nowMillis, seenLocally));
            }
        }
    }

    /** Returns whether a request has a cause that was quarantined before and that no answer has cleared lately. */
    boolean isLapsedMatchedBy(Collection<Feature> request, long nowMillis) {
        if (lapsed.isEmpty()) {
            return false;
        }
        Set<Feature> features = new HashSet<>(request);
        return lapsed.keySet().stream().anyMatch(cause -> isMatchedAgain(cause, features, nowMillis));
    }

    private boolean isMatchedAgain(Cause lapsedCause, Set<Feature> request, long nowMillis) {
        Cause left = withoutAnswered(lapsedCause, nowMillis);
        return left.isSpecific() && left.matches(request);
    }

    /** Returns a cause without the features that were answered lately. */
    Cause withoutAnswered(Cause cause, long nowMillis) {
        return cause.without(cause.features().stream()
                .filter(feature -> answers.wasAnswered(feature, nowMillis))
                .collect(Collectors.toSet()));
    }

    /** Returns whether a feature is one of an adopted cause. */
    boolean hasFeature(Feature feature) {
        return adopted.keySet().stream().anyMatch(cause -> cause.features().contains(feature));
    }

    /** Removes answered features from the causes, but from those answered before only if they were sent since. */
    void removeAnswered(Set<Feature> features, long sentAt) {
        for (Map.Entry<Cause, Adopted> entry : List.copyOf(adopted.entrySet())) {
            Cause cause = entry.getKey();
            boolean innocent =
                    !cause.answeredBefore() || sentAt >= entry.getValue().sinceMillis();
            if (!innocent || features.stream().noneMatch(cause.features()::contains)) {
                continue;
            }
            Cause left = cause.without(features);
            adopted.remove(cause);
            if (left.isSpecific()) {
                adopted.put(left, entry.getValue());
            }
        }
    }
}
