package org.rattanrudder.core.continuation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Which software the targets of each service have lately run, as far as one relay has read their registrations.
 *
 * <p>It follows the log of registrations alone: a target that this relay doesn't use, for whatever reason, may be used
 * by others. It says nothing for certain where a registration may have been missed, or can't be read.
 *
 * <p>Where all targets that may have begun a stream run the same software, that is what began it, whoever it was. All
 * times are milliseconds of a monotonic clock.
 */
public final class SoftwareHistory {
    private static final String UNNAMED = "";

    /** By service: when each version was last known to run; an empty version is that of targets that name none. */
    private final Map<String, Map<Optional<String>, Long>> lastKnown = new HashMap<>();

    /** The software of each registered target, by its ID; empty where its registration can't be read. */
    private final Map<String, Optional<Registered>> registered = new HashMap<>();

    private boolean listed;
    private long completeSince;

    private record Registered(String service, Optional<String> softwareVersion) {}

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

    /** Records that a target of a service runs a version, or did until now. */
    public void onKnown(String service, Optional<String> softwareVersion, long nowMillis) {
        lastKnown.computeIfAbsent(service, unseen -> new HashMap<>()).put(softwareVersion, nowMillis);
    }

    /**
     * Records a target's newest registration. It holds until the next one, or its removal, is read: others may send to
     * the target, whether this relay does or not.
     */
    public void onRegistered(String id, String service, Optional<String> softwareVersion, long nowMillis) {
        endRegistration(id, nowMillis);
        registered.put(id, Optional.of(new Registered(service, softwareVersion)));
    }

    /** Records that a target's newest registration can't be read: it may be of any service and run any software. */
    public void onUnreadable(String id, long nowMillis) {
        endRegistration(id, nowMillis);
        registered.put(id, Optional.empty());
    }

    /** Records that a target is no longer registered. */
    public void onRemoved(String id, long nowMillis) {
        endRegistration(id, nowMillis);
    }

    private void endRegistration(String id, long nowMillis) {
        Optional<Registered> before = registered.remove(id);
        if (before == null) {
            return;
        }
        before.ifPresentOrElse(
                known -> onKnown(known.service(), known.softwareVersion(), nowMillis), () -> restart(nowMillis));
    }

    /** Handles a full listing: what isn't in it has ended, and what came and went before it isn't known. */
    public void onListed(Set<String> present, long nowMillis) {
        for (String id : List.copyOf(registered.keySet())) {
            if (!present.contains(id)) {
                endRegistration(id, nowMillis);
            }
        }
        listed = true;
        completeSince = nowMillis;
    }

    /** Begins the history anew: what came and went before now isn't known. */
    public void restart(long nowMillis) {
        completeSince = nowMillis;
    }

    /** Handles that registrations may exist that were never read: nothing is certain until the next full listing. */
    public void onRegistrationsMissed() {
        listed = false;
    }

    /** Returns what is known of the software that all targets of a service have run since a time. */
    public Evidence evidence(String service, long sinceMillis, long nowMillis) {
        SortedSet<String> versions = new TreeSet<>();
        lastKnown.getOrDefault(service, Map.of()).forEach((version, knownAt) -> {
            if (knownAt >= sinceMillis) {
                versions.add(version.orElse(UNNAMED));
            }
        });
        boolean readable = true;
        for (Optional<Registered> each : registered.values()) {
            readable &= each.isPresent();
            each.filter(known -> known.service().equals(service))
                    .ifPresent(known -> versions.add(known.softwareVersion().orElse(UNNAMED)));
        }
        boolean complete = listed && readable && completeSince <= sinceMillis;
        boolean certain = complete && versions.size() == 1 && !versions.contains(UNNAMED);
        return new Evidence(
                certain ? Optional.of(new StreamOrigin(service, versions.first())) : Optional.empty(),
                versions,
                listed ? OptionalLong.of(nowMillis - completeSince) : OptionalLong.empty());
    }
}
