package org.rattanrudder.core.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The desired versions of each model's weights, and since when each has been desired.
 *
 * <p>Some time after a newer version became desired, no request may start on older weights. Three faults would extend
 * that time. A relay that was restarted or frozen would count from a later moment than the others; relays therefore
 * exchange for how long they have known a version, and the longest time counts. If all relays lost power, none of them
 * knows the time: a version that is found at startup counts as desired long ago until a peer reports since when. And if
 * only the newest version were remembered, each new one would restart the time; each version therefore has its own.
 *
 * <p>Times are milliseconds of a monotonic clock.
 */
public final class DesiredVersions {
    /** Maximum number of remembered versions per model; older ones are past every time limit. */
    private static final int MAX_VERSIONS = 16;

    /** The time of a version whose true time is unknown: longer ago than any time limit. */
    private static final long LONG_AGO = Long.MIN_VALUE / 2;

    private final Map<String, TreeMap<Long, Long>> sinceByModel = new HashMap<>();

    /**
     * A desired version of a model's weights.
     *
     * @param model the model
     * @param version the version
     * @param sinceMillis when it became desired at the latest
     */
    public record DesiredVersion(String model, long version, long sinceMillis) {}

    /** Adds a version that has just become desired; returns whether it is the newest. */
    public boolean addDesired(String model, long version, long nowMillis) {
        return add(model, version, nowMillis);
    }

    /**
     * Adds a version that became desired before this relay started; returns whether it is the newest. When all relays
     * lost power six seconds after a change of the desired version and restarted the time on their return, requests
     * started on old weights 14 s after the change, where 10 s were allowed.
     */
    public boolean addFoundAtStart(String model, long version) {
        return add(model, version, LONG_AGO);
    }

    private boolean add(String model, long version, long sinceMillis) {
        TreeMap<Long, Long> versions = sinceByModel.computeIfAbsent(model, unseen -> new TreeMap<>());
        boolean newest = versions.isEmpty() || versions.lastKey() < version;
        versions.putIfAbsent(version, sinceMillis);
        if (versions.size() > MAX_VERSIONS) {
            versions.pollFirstEntry();
        }
        return newest;
    }

    /** Applies for how long a peer has known a version, if the same or a newer version is known here. */
    public void applyPeerAge(String model, long version, long ageMillis, long nowMillis) {
        TreeMap<Long, Long> versions = sinceByModel.get(model);
        // New versions are accepted only from the store. Of versions before them the relay may have read no record.
        if (versions != null && versions.lastKey() >= version) {
            versions.merge(version, nowMillis - ageMillis, DesiredVersions::earlier);
        }
    }

    /** Returns the earlier time, or the other one if the first is unknown. */
    private static long earlier(long one, long other) {
        if (one == LONG_AGO) {
            return other;
        }
        return Math.min(one, other);
    }

    /** Returns the newest desired version of a model; 0 if there is none. */
    public long newest(String model) {
        TreeMap<Long, Long> versions = sinceByModel.get(model);
        return versions == null ? 0 : versions.lastKey();
    }

    /**
     * Returns the oldest version on which a request may start.
     *
     * @param allowedMillis how long older versions may be used after a newer one became desired
     */
    public long oldestAllowed(String model, long allowedMillis, long nowMillis) {
        TreeMap<Long, Long> versions = sinceByModel.getOrDefault(model, new TreeMap<>());
        return versions.descendingMap().entrySet().stream()
                .filter(version -> nowMillis - version.getValue() >= allowedMillis)
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse(0L);
    }

    /** Returns the only model with desired versions; empty if there are none or several. */
    public Optional<String> onlyModel() {
        return sinceByModel.size() == 1
                ? Optional.of(sinceByModel.keySet().iterator().next())
                : Optional.empty();
    }

    /** Returns the remembered versions for which the time is known. */
    public List<DesiredVersion> versionsWithKnownAge() {
        List<DesiredVersion> all = new ArrayList<>();
        sinceByModel.forEach((model, versions) -> versions.forEach((version, since) -> {
            if (since != LONG_AGO) {
                all.add(new DesiredVersion(model, version, since));
            }
        }));
        return all;
    }

    /** Returns the models that have desired versions. */
    public List<String> models() {
        return List.copyOf(sinceByModel.keySet());
    }
}
