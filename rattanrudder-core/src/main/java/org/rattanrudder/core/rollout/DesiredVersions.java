package org.rattanrudder.core.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The desired versions of each model's weights, and for each of them a time before which it wasn't desired.
 *
 * <p>Some time after a newer version became desired, no request may start on older weights. The time at which a
 * relay reads of a version says little: it may have been suspended, restarted or without the log. What proves the time
 * is a read that didn't find it: all that such a read doesn't return was written after the read began. A version that
 * was found by the first read has no such time, and counts as desired long ago, until a peer tells one that it has
 * proved.
 *
 * <p>Of two times for one version the later one is used, since each is proved by itself. Versions may be overwritten
 * before they are read. So this holds for each version that was ever desired: the first one from it on that a relay
 * remembers has a time at which neither was desired yet, and requests on anything older end in time.
 *
 * <p>Times are milliseconds of a monotonic clock.
 */
public final class DesiredVersions {
    /** Maximum number of remembered versions per model. */
    private static final int MAX_VERSIONS = 16;

    /** The time of a version that may have been desired for any time: longer ago than any time limit. */
    private static final long LONG_AGO = Long.MIN_VALUE / 2;

    private final Map<String, TreeMap<Long, Since>> sinceByModel = new HashMap<>();

    /** The newest version of each model that a peer knows, and that this relay may not have read yet. */
    private final Map<String, Long> newestAtPeers = new HashMap<>();

    private long lastReadAskedAt = LONG_AGO;

    /** What proves that a version wasn't desired before a time. */
    public enum Source {
        /** A read of this relay that didn't find it. */
        READ,
        /** Nothing: the first read found it. */
        FOUND_AT_START,
        /** A peer's answer. */
        PEER;

        /** Returns the name in logs. */
        public String wireName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * The earliest time at which a version can have become desired.
     *
     * @param earliestMillis the time, or {@link #LONG_AGO}
     * @param foundAtMillis when this relay read of the version, which was desired by then
     * @param source what proves the time
     */
    private record Since(long earliestMillis, long foundAtMillis, Source source) {
        Since later(Since other) {
            return other.earliestMillis() > earliestMillis
                    ? new Since(other.earliestMillis(), foundAtMillis, other.source())
                    : this;
        }
    }

    /**
     * A desired version of a model's weights.
     *
     * @param model the model
     * @param version the version
     * @param sinceMillis the earliest time at which it can have become desired
     * @param source what proves that time
     */
    public record DesiredVersion(String model, long version, long sinceMillis, Source source) {
        /** Returns for how long it can have been desired at most, in ms, for logs; "unknown" if nothing proves that. */
        public String ageText(long nowMillis) {
            return source == Source.FOUND_AT_START ? "unknown" : Long.toString(nowMillis - sinceMillis);
        }
    }

    /** Handles that a read which began at a time has returned all records that were there, which were added before. */
    public void onReadToEnd(long askedAtMillis) {
        lastReadAskedAt = Math.max(lastReadAskedAt, askedAtMillis);
    }

    /** Returns whether a read that began after a time has returned all records that were there. */
    boolean isReadSince(long millis) {
        return lastReadAskedAt > millis;
    }

    /** Adds a version that was read; returns whether it is the newest. */
    public boolean add(String model, long version, long nowMillis) {
        TreeMap<Long, Since> versions = sinceByModel.computeIfAbsent(model, unseen -> new TreeMap<>());
        if (!versions.isEmpty() && versions.lastKey() >= version) {
            return false;
        }
        Source source = lastReadAskedAt == LONG_AGO ? Source.FOUND_AT_START : Source.READ;
        versions.put(version, new Since(lastReadAskedAt, nowMillis, source));
        forgetOldest(versions);
        return true;
    }

    /** The next version stands in for one that is forgotten: it gets its time, so that nothing older lasts longer. */
    private static void forgetOldest(TreeMap<Long, Since> versions) {
        while (versions.size() > MAX_VERSIONS) {
            Since oldest = versions.pollFirstEntry().getValue();
            versions.merge(
                    versions.firstKey(),
                    oldest,
                    (next, forgotten) ->
                            new Since(forgotten.earliestMillis(), next.foundAtMillis(), forgotten.source()));
        }
    }

    /**
     * Applies what a peer has proved of a version, if the same or a newer version is known here. All that the peer
     * remembers of a model must be applied.
     *
     * @param earliestMillis a time at which the version wasn't desired yet
     */
    public void applyPeerTime(String model, long version, long earliestMillis, long nowMillis) {
        TreeMap<Long, Since> versions = sinceByModel.get(model);
        // New versions are accepted only from the store.
        if (versions == null || versions.lastKey() < version) {
            return;
        }
        versions.merge(version, new Since(earliestMillis, nowMillis, Source.PEER), Since::later);
        forgetOldest(versions);
    }

    /**
     * Returns whether peers may know better: a version was found lately whose time is much earlier, or unknown.
     *
     * @param usualMillis the usual time between two reads
     * @param limitMillis how long ago a version must have been found so that its time no longer matters
     */
    public boolean needsPeers(long usualMillis, long limitMillis, long nowMillis) {
        return sinceByModel.values().stream()
                .flatMap(versions -> versions.values().stream())
                .anyMatch(since -> since.foundAtMillis() - since.earliestMillis() > usualMillis
                        && nowMillis - since.foundAtMillis() < limitMillis);
    }

    /** Returns whether the time of any version is proved. */
    public boolean provesAny() {
        return versions().stream().anyMatch(known -> known.source() != Source.FOUND_AT_START);
    }

    /** Returns the newest desired version of a model; 0 if there is none. */
    public long newest(String model) {
        TreeMap<Long, Since> versions = sinceByModel.get(model);
        return versions == null ? 0 : versions.lastKey();
    }

    /** Records a version that a peer knows. It is desired here only once it was read from the store. */
    public void onKnownAtPeer(String model, long version) {
        newestAtPeers.merge(model, version, Math::max);
    }

    /**
     * Returns the newest version of a model that a target can serve, as far as known: nobody serves what no operator
     * has published. There is no bound while no version of the model was published.
     */
    public long newestServable(String model) {
        TreeMap<Long, Since> versions = sinceByModel.get(model);
        return versions == null ? Long.MAX_VALUE : Math.max(versions.lastKey(), newestAtPeers.getOrDefault(model, 0L));
    }

    /**
     * Returns the oldest version on which a request may start.
     *
     * @param allowedMillis how long older versions may be used after a newer one became desired
     */
    public long oldestAllowed(String model, long allowedMillis, long nowMillis) {
        TreeMap<Long, Since> versions = sinceByModel.getOrDefault(model, new TreeMap<>());
        return versions.descendingMap().entrySet().stream()
                .filter(version -> nowMillis - version.getValue().earliestMillis() >= allowedMillis)
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse(0L);
    }

    /** Returns the earliest time at which a newer version can have become desired; far away if none is known. */
    public long firstNewerSince(String model, long version) {
        return sinceByModel.getOrDefault(model, new TreeMap<>()).tailMap(version, false).values().stream()
                .mapToLong(Since::earliestMillis)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    /** Returns the only model with desired versions; empty if there are none or several. */
    public Optional<String> onlyModel() {
        return sinceByModel.size() == 1
                ? Optional.of(sinceByModel.keySet().iterator().next())
                : Optional.empty();
    }

    /** Returns all remembered versions, the oldest of each model first. */
    public List<DesiredVersion> versions() {
        List<DesiredVersion> all = new ArrayList<>();
        sinceByModel.forEach((model, versions) -> versions.forEach((version, since) ->
                all.add(new DesiredVersion(model, version, since.earliestMillis(), since.source()))));
        return all;
    }

    /** Returns the newest desired version of a model; empty if there is none. */
    public Optional<DesiredVersion> newestKnown(String model) {
        return Optional.ofNullable(sinceByModel.get(model))
                .map(TreeMap::lastEntry)
                .map(newest -> new DesiredVersion(
                        model,
                        newest.getKey(),
                        newest.getValue().earliestMillis(),
                        newest.getValue().source()));
    }

    /** Returns the models that have desired versions. */
    public List<String> models() {
        return List.copyOf(sinceByModel.keySet());
    }
}
