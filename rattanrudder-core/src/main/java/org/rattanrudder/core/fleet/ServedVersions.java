package org.rattanrudder.core.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import org.rattanrudder.core.fleet.LoadReport.ServedWeights;

/**
 * The versions of models' weights that one target is known to serve, by its registration and by what was seen since.
 *
 * <p>A version that was never published counts as unknown, whoever has told it.
 */
final class ServedVersions {
    private final Map<String, Long> confirmed = new HashMap<>();

    /** Versions that the target was seen to serve before they were known to be published. */
    private final Map<String, Long> unpublished = new HashMap<>();

    private final ToLongFunction<String> newestServable;
    private TargetRegistration registration;
    private long confirmedAt = Long.MIN_VALUE / 2;

    /**
     * Creates the versions of a target.
     *
     * @param newestServable returns the newest version of a model's weights that a target can serve
     */
    ServedVersions(TargetRegistration registration, ToLongFunction<String> newestServable) {
        this.registration = registration;
        this.newestServable = newestServable;
    }

    /** Returns the version of a model that the target serves; 0 if unknown. */
    long version(String model) {
        long newest = newestServable.applyAsLong(model);
        long seen = Math.max(confirmed.getOrDefault(model, 0L), servable(unpublished.getOrDefault(model, 0L), newest));
        return Math.max(servable(registered(registration, model), newest), seen);
    }

    private static long servable(long version, long newest) {
        return version <= newest ? version : 0;
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
        boolean newer = newest.weights().entrySet().stream()
                .anyMatch(served -> servable(served.getValue(), newestServable.applyAsLong(served.getKey()))
                        > version(served.getKey()));
        registration = newest;
        return newer;
    }

    /** Records a version that the target was seen to serve; returns whether it is newer. */
    boolean confirm(String model, long version, long nowMillis) {
        if (version > newestServable.applyAsLong(model)) {
            unpublished.put(model, version);
            return false;
        }
        if (version <= version(model)) {
            return false;
        }
        confirmed.put(model, version);
        confirmedAt = nowMillis;
        return true;
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
