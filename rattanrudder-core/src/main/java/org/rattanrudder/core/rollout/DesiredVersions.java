package org.rattanrudder.core.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
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

    private final Map<String, TreeMap<Long, Since>> sinceByModel = new HashMap<>();

    /** How a relay knows since when a version is desired. */
    public enum Source {
        /** It read of it after its start. */
        READ,
        /** It found it at its start, so that it doesn't know. */
        FOUND_AT_START,
        /** A peer reported it. */
        PEER;

        /** Returns the name in logs. */
        public String wireName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** Since when a version is desired, and how that is known. */
    private record Since(long millis, Source source) {}

    /**
     * A desired version of a model's weights.
     *
     * @param model the model
     * @param version the version
     * @param sinceMillis when it became desired at the latest
     * @param source how that is known
     */
    public record DesiredVersion(String model, long version, long sinceMillis, Source source) {}

    /** Adds a version that has just become desired; returns whether it is the newest. */
    public boolean addDesired(String model, long version, long nowMillis) {
        return add(model, version, new Since(nowMillis, Source.READ));
    }

    /**
     * Adds a version that became desired before this relay started; returns whether it is the newest. When all relays
     * lost power six seconds after a change of the desired version and restarted the time on their return, requests
     * started on old weights 14 s after the change, where 10 s were allowed.
     */
    public boolean addFoundAtStart(String model, long version) {
        return add(model, version, new Since(LONG_AGO, Source.FOUND_AT_START));
    }

    private boolean add(String model, long version, Since since) {
        TreeMap<Long, Since> versions = sinceByModel.computeIfAbsent(model, unseen -> new TreeMap<>());
        boolean newest = versions.isEmpty() || versions.lastKey() < version;
        versions.putIfAbsent(version, since);
        if (versions.size() > MAX_VERSIONS) {
            versions.pollFirstEntry();
        }
        return newest;
    }

    /** Applies for how long a peer has known a version, if the same or a newer version is known here. */
    public void applyPeerAge(String model, long version, long ageMillis, long nowMillis) {
        TreeMap<Long, Since> versions = sinceByModel.get(model);
        // New versions are accepted only from the store. Of versions before them the relay may have read no record.
        if (versions != null && versions.lastKey() >= version) {
            versions.merge(version, new Since(nowMillis - ageMillis, Source.PEER), DesiredVersions::earlier);
        }
    }

    /** Returns the earlier time, or the other one if the first is unknown. */
    private static Since earlier(Since one, Since other) {
        return one.millis() == LONG_AGO || other.millis() < one.millis() ? other : one;
    }

    /** Returns the newest desired version of a model; 0 if there is none. */
    public long newest(String model) {
        TreeMap<Long, Since> versions = sinceByModel.get(model);
        return versions == null ? 0 : versions.lastKey();
    }

    /**
     * Returns the oldest version on which a request may start.
     *
     * @param allowedMillis how long older versions may be used after a newer one became desired
     */
    public long oldestAllowed(String model, long allowedMillis, long nowMillis) {
        TreeMap<Long, Since> versions = sinceByModel.getOrDefault(model, new TreeMap<>());
        return versions.descendingMap().entrySet().stream()
                .filter(version -> nowMillis - version.getValue().millis() >= allowedMillis)
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
            if (since.millis() != LONG_AGO) {
                all.add(new DesiredVersion(model, version, since.millis(), since.source()));
            }
        }));
        return all;
    }

    /** Returns the newest desired version of a model, and since when it is known to be desired; empty if none is. */
    public Optional<DesiredVersion> newestKnown(String model) {
        return Optional.ofNullable(sinceByModel.get(model))
                .map(TreeMap::lastEntry)
                .map(newest -> new DesiredVersion(
                        model,
                        newest.getKey(),
                        newest.getValue().millis(),
                        newest.getValue().source()));
    }

    /** Returns the models that have desired versions. */
    public List<String> models() {
        return List.copyOf(sinceByModel.keySet());
    }
}
