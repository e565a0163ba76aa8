package org.rattanrudder.core.continuation;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Which software the targets of each service have lately run, as far as one relay has read their registrations.
 *
 * <p>Where all targets that may have begun a stream run the same software, that is what began it, whoever it was. All
 * times are milliseconds of a monotonic clock.
 */
public final class SoftwareHistory {
    private static final long NEVER = Long.MAX_VALUE;

    /** By service: when each version was last known to run; an empty version is that of targets that name none. */
    private final Map<String, Map<Optional<String>, Long>> lastKnown = new HashMap<>();

    private long completeSince = NEVER;

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

    /**
     * Returns the software that all targets of a service have run since a time; empty if there was more than one
     * version, if a target named none, or if the history doesn't reach back so far.
     */
    public Optional<StreamOrigin> sole(String service, long sinceMillis) {
        if (completeSince > sinceMillis) {
            return Optional.empty();
        }
        Map<Optional<String>, Long> versions = lastKnown.getOrDefault(service, Map.of());
        Optional<String> only = Optional.empty();
        for (Map.Entry<Optional<String>, Long> version : versions.entrySet()) {
            if (version.getValue() < sinceMillis) {
                continue;
            }
            if (version.getKey().isEmpty() || only.isPresent()) {
                return Optional.empty();
            }
            only = version.getKey();
        }
        return only.map(version -> new StreamOrigin(service, version));
    }
}
