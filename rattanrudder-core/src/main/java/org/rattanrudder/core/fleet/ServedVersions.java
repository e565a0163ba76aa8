package org.rattanrudder.core.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.rattanrudder.core.fleet.LoadReport.ServedWeights;

/**
 * The versions of models' weights that one target is known to serve, by its registration and by what was seen since.
 *
 * <p>A version that was never published counts as unknown, whoever has told it. Until a read shows that, it counts.
 */
final class ServedVersions {
    private final Map<String, Long> confirmed = new HashMap<>();

    /** Versions that the target was seen to serve before they were known to be published. */
    private final Map<String, Long> unpublished = new HashMap<>();

    private final PublishedVersions published;
    private TargetRegistration registration;
    private long confirmedAt = Long.MIN_VALUE / 2;

    /**
     * Creates the versions of a target.
     *
     * @param published what is known of the published versions of weights
     */
    ServedVersions(TargetRegistration registration, PublishedVersions published) {
        this.registration = registration;
        this.published = published;
        registration.weights().forEach(published::onClaimed);
    }

    /** Returns the version of a model that the target serves; 0 if unknown. */
    long version(String model) {
        long seen = Math.max(confirmed.getOrDefault(model, 0L), credible(model, unpublished.getOrDefault(model, 0L)));
        return Math.max(credible(model, registered(registration, model)), seen);
    }

    private long credible(String model, long version) {
        return published.mayBePublished(model, version) ? version : 0;
    }

    private static long registered(TargetRegistration registration, String model) {
        return registration.weights().getOrDefault(model, 0L);
    }

    /** Returns whether the target serves a model, in whichever version. */
    boolean serves(String model) {
        return registered(registration, model) > 0 || confirmed.containsKey(model);
    }

    /** Returns whether the registration names the version that the target is taken to serve. */
    boolean isRegistered(String model) {
        return registered(registration, model) == version(model);
    }

    /** Applies a newer registration; returns whether it lists a newer version. */
    boolean update(TargetRegistration newest) {
        newest.weights().forEach(published::onClaimed);
        boolean newer = newest.weights().entrySet().stream()
                .anyMatch(served -> credible(served.getKey(), served.getValue()) > version(served.getKey()));
        registration = newest;
        return newer;
    }

    /** Records a version that the target was seen to serve; returns whether it is newer. */
    boolean confirm(String model, long version, long nowMillis) {
        published.onClaimed(model, version);
        boolean newer = credible(model, version) > version(model);
        if (!published.isPublished(model, version)) {
            unpublished.merge(model, version, (known, seen) -> newer || credible(model, known) == 0 ? seen : known);
        } else if (newer) {
            confirmed.put(model, version);
            confirmedAt = nowMillis;
        }
        return newer;
    }

    /** Returns all confirmed versions if any was confirmed since the given time. */
    List<ServedWeights> confirmedSince(long sinceMillis) {
        if (confirmedAt < sinceMillis) {
            return List.of();
        }
        return confirmed.entrySet().stream()
                .map(served -> new ServedWeights(
                        registration.id(), registration.startedAt(), served.getKey(), served.getValue()))
                .toList();
    }
}
