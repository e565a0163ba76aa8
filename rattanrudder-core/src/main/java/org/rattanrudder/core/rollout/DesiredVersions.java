package org.rattanrudder.core.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The versions of each model's weights that were named, and since when.
 *
 * <p>No request may begin on older weights a while after newer ones were named. Two things would stretch that time. A
 * relay that was restarted or frozen would count from a later moment than the others; relays therefore tell each other
 * for how long they have known a version, and the longest counts. Where all of them lost power nobody can tell: a
 * version that is found at the start counts as named long ago until another relay says since when. And a version named
 * in between would begin the time anew, were only the newest one remembered; each version keeps its own time.
 *
 * <p>Times are milliseconds of a steady clock.
 */
public final class DesiredVersions {
    /** Versions of a model that are remembered: older ones are beyond every bound. */
    private static final int REMEMBERED = 16;

    /** Since when a version was named of which that isn't known: longer ago than any time allowed. */
    private static final long LONG_AGO = Long.MIN_VALUE / 2;

    private final Map<String, TreeMap<Long, Long>> sinceByModel = new HashMap<>();

    /**
     * A version that was named.
     *
     * @param model the model
     * @param version the version
     * @param sinceMillis when it was named at the latest
     */
    public record DesiredVersion(String model, long version, long sinceMillis) {}

    /** Notes a version that was named just now; returns whether it is newer than what was known. */
    public boolean addDesired(String model, long version, long nowMillis) {
        return note(model, version, nowMillis);
    }

    /**
     * Notes a version that had been named before this relay was there; returns whether it is newer than what was known.
     * All relays lost power six seconds after a naming and counted anew when they were back: requests began on old
     * weights 14 s after the naming, where 10 s were allowed.
     */
    public boolean addFoundAtStart(String model, long version) {
        return note(model, version, LONG_AGO);
    }

    private boolean note(String model, long version, long sinceMillis) {
        TreeMap<Long, Long> versions = sinceByModel.computeIfAbsent(model, unseen -> new TreeMap<>());
        boolean newest = versions.isEmpty() || versions.lastKey() < version;
        versions.putIfAbsent(version, sinceMillis);
        if (versions.size() > REMEMBERED) {
            versions.pollFirstEntry();
        }
        return newest;
    }

    /** Notes for how long another relay has known a version, if an equal or newer one is known here. */
    public void applyPeerAge(String model, long version, long ageMillis, long nowMillis) {
        TreeMap<Long, Long> versions = sinceByModel.get(model);
        // A version is only taken over from the store; of those before it the relay may have read nothing.
        if (versions != null && versions.lastKey() >= version) {
            versions.merge(version, nowMillis - ageMillis, DesiredVersions::earlier);
        }
    }

    /** Returns the earlier time, or the one that is known. */
    private static long earlier(long one, long other) {
        if (one == LONG_AGO) {
            return other;
        }
        return Math.min(one, other);
    }

    /** Returns the newest version of a model; 0 if none was named. */
    public long newest(String model) {
        TreeMap<Long, Long> versions = sinceByModel.get(model);
        return versions == null ? 0 : versions.lastKey();
    }

    /** Returns the oldest version on which a request may begin, when newer ones are allowed that much time. */
    public long oldestAllowed(String model, long allowedMillis, long nowMillis) {
        TreeMap<Long, Long> versions = sinceByModel.getOrDefault(model, new TreeMap<>());
        return versions.descendingMap().entrySet().stream()
                .filter(named -> nowMillis - named.getValue() >= allowedMillis)
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse(0L);
    }

    /** Returns the only model that has named versions; empty if there are none or several. */
    public Optional<String> onlyModel() {
        return sinceByModel.size() == 1
                ? Optional.of(sinceByModel.keySet().iterator().next())
                : Optional.empty();
    }

    /** Returns the versions that are remembered and of which it is known since when. */
    public List<DesiredVersion> versionsWithKnownAge() {
        List<DesiredVersion> all = new ArrayList<>();
        sinceByModel.forEach((model, versions) -> versions.forEach((version, since) -> {
            if (since != LONG_AGO) {
                all.add(new DesiredVersion(model, version, since));
            }
        }));
        return all;
    }

    /** Returns the models that have named versions. */
    public List<String> models() {
        return List.copyOf(sinceByModel.keySet());
    }
}
