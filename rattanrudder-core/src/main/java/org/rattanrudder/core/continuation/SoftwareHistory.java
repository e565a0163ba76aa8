package org.rattanrudder.core.continuation;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Which software the targets of each service have lately run, as far as one relay has read their registrations.
 *
 * <p>Where all targets that may have begun a stream run the same software, that is what began it, whoever it was. All
 * times are milliseconds of a monotonic clock.
 */
public final class SoftwareHistory {
    private static final long NEVER = Long.MAX_VALUE;
    private static final String UNNAMED = "";

    /** By service: when each version was last known to run; an empty version is that of targets that name none. */
    private final Map<String, Map<Optional<String>, Long>> lastKnown = new HashMap<>();

    private long completeSince = NEVER;

    /**
     * What the history says of a service.
     *
     * @param sole the software that all its targets have run; empty if that isn't one version, or isn't known
     * @param versions the versions that they have run; an empty text is that of targets that name none
     * @param completeMillis for how long registrations have been read without a gap; empty if they haven't
     */
    public record Evidence(Optional<StreamOrigin> sole, SortedSet<String> versions, OptionalLong completeMillis) {}

    /** Creates a history of which nothing was read. */
    public SoftwareHistory() {}

    /** Records that a target of a service is known, or was until now. */
    public void onKnown(String service, Optional<String> softwareVersion, long nowMillis) {
        lastKnown.computeIfAbsent(service, unseen -> new HashMap<>()).put(softwareVersion, nowMillis);
    }

    /** Begins the history anew: what came and went before now isn't known. */
    public void restart(long nowMillis) {
        completeSince = nowMillis;
    }

    /** Returns what is known of the software that all targets of a service have run since a time. */
    public Evidence evidence(String service, long sinceMillis, long nowMillis) {
        SortedSet<String> versions = new TreeSet<>();
        lastKnown.getOrDefault(service, Map.of()).forEach((version, knownAt) -> {
            if (knownAt >= sinceMillis) {
                versions.add(version.orElse(UNNAMED));
            }
        });
        boolean certain = completeSince <= sinceMillis && versions.size() == 1 && !versions.contains(UNNAMED);
        return new Evidence(
                certain ? Optional.of(new StreamOrigin(service, versions.first())) : Optional.empty(),
                versions,
                completeSince == NEVER ? OptionalLong.empty() : OptionalLong.of(nowMillis - completeSince));
    }
}
