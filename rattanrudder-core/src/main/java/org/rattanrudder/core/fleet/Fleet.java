package org.rattanrudder.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.rattanrudder.core.fleet.LoadReport.ServedWeights;

/**
 * The targets that are known, from a keyed log of their entries.
 *
 * <p>A record is believed only if it is newer, by the target's start and its offset, than what is known of its target:
 * after trouble the log's readers may be shown an older state for a while. An entry that lapsed while the log was away
 * says nothing of its target, which couldn't renew it; it is kept until the target had time to register again.
 *
 * <pre>{@code
 * fleet.apply(id, Optional.of(entry), offset, now);
 * List<Target> targets = fleet.of("palivo-llm", now);
 * }</pre>
 */
public final class Fleet {
    /**
     * How long after the log's return a lapsed entry is kept, in ms: targets register again within about two seconds of
     * it, and a record takes some hundred ms to be read.
     */
    public static final long RETURN_GRACE_MILLIS = 2_500;

    /** How long a target that a relay said to be loading is left alone, in ms: some of its messages may be lost. */
    public static final long LOADING_TOLD_MILLIS = 1_000;

    private final Map<String, Target> targets = new LinkedHashMap<>();
    private final Map<String, Seen> newest = new HashMap<>();
    private final Map<String, Long> lapsed = new HashMap<>();
    private final PeerLoads livePeerCount = new PeerLoads();
    private final TargetSharing sharing = new TargetSharing();

    /** Not at the start: who has seen no loss would hold back removals that were made while the log was there. */
    private boolean logAway;

    private long logReturnedAt = Long.MIN_VALUE / 2;

    /**
     * The newest that was read of a target.
     *
     * @param startedAt its start
     * @param offset of its record
     */
    private record Seen(long startedAt, long offset) {
        private static final Seen NOTHING = new Seen(TargetRegistration.START_UNKNOWN, -1);
    }

    /** Notes that the log doesn't answer. */
    public void onLogUnavailable() {
        logAway = true;
    }

    /** Notes that the log answers; only the first call after a loss counts as its return. */
    public void onLogAvailable(long nowMillis) {
        if (logAway) {
            logAway = false;
            logReturnedAt = nowMillis;
        }
    }

    /** Takes a record of one target: its entry, or none if it was removed. Returns whether it was news. */
    public boolean apply(String id, Optional<TargetRegistration> entry, long offset, long nowMillis) {
        if (entry.isPresent()) {
            return take(entry.get(), offset);
        }
        if (!isNewer(id, offset)) {
            return false;
        }
        remove(id, nowMillis);
        return true;
    }

    /** Notes a record of a target that can't be read: another writer's, which names nothing to send to. */
    public void onUnreadableRecord(String id, long offset) {
        if (isNewer(id, offset)) {
            removeReplaced(id);
        }
    }

    /** Returns whether a record without a start is newer than what is known of its target, and notes it. */
    private boolean isNewer(String id, long offset) {
        Seen seen = newest.getOrDefault(id, Seen.NOTHING);
        newest.put(id, new Seen(seen.startedAt(), Math.max(seen.offset(), offset)));
        return offset > seen.offset();
    }

    /**
     * Takes a target's entry. A target may start again under its id, and then holds nothing of before: load, outcomes,
     * connections and weights that were seen at the start before say nothing of it, so it is another target here. What
     * an earlier start said may be written, or read, later than what the newer one says, and changes nothing.
     */
    private boolean take(TargetRegistration entry, long offset) {
        Seen seen = newest.getOrDefault(entry.id(), Seen.NOTHING);
        boolean startedAgain = entry.startedAt() > seen.startedAt();
        if (entry.startedAt() < seen.startedAt() || (!startedAgain && offset <= seen.offset())) {
            return false;
        }
        newest.put(entry.id(), new Seen(entry.startedAt(), offset));
        lapsed.remove(entry.id());
        Target target = targets.get(entry.id());
        if (target == null || startedAgain) {
            targets.put(entry.id(), new Target(entry, livePeerCount, sharing));
        } else {
            target.update(entry);
        }
        return true;
    }

    /** Takes a full listing: targets that it lacks are gone, unless they are newer than the listing. */
    public void applyListing(Set<String> present, long end, long nowMillis) {
        for (String id : List.copyOf(targets.keySet())) {
            if (!present.contains(id) && newest.get(id).offset() < end) {
                remove(id, nowMillis);
            }
        }
    }

    /** Notes that a target isn't there any more: another one answered at its address. */
    public void removeReplaced(String id) {
        targets.remove(id);
        lapsed.remove(id);
    }

    /** Returns all targets, leaving ones too. */
    public Collection<Target> all(long nowMillis) {
        dropLapsed(nowMillis);
        return targets.values();
    }

    /**
     * Takes the relays that are there, which share the targets among them; until then this one shares all.
     *
     * @param self this relay's name
     * @param domains the failure domain of each relay by its name, of this one too
     */
    public void updateRelays(String self, Map<String, String> domains) {
        sharing.relays(self, domains);
    }

    /** Takes what another relay says of its work. */
    public void applyLoadReport(LoadReport load, long nowMillis) {
        livePeerCount.heard(load, nowMillis);
        load.loading()
                .forEach(
                        id -> find(id).ifPresent(target -> target.markLoadingWeights(nowMillis + LOADING_TOLD_MILLIS)));
        for (ServedWeights served : load.served()) {
            find(served.target())
                    .ifPresent(target -> target.confirmWeights(served.model(), served.version(), nowMillis));
        }
    }

    /** Returns whether another relay takes new connections, as far as known. */
    public boolean anyPeerReady(long nowMillis) {
        return livePeerCount.anyReady(nowMillis);
    }

    /** Returns the other relays that were heard of lately. */
    public Set<String> livePeers(long nowMillis) {
        return livePeerCount.relays(nowMillis);
    }

    /** Returns how many other relays were heard of lately. */
    public int livePeerCount(long nowMillis) {
        return livePeerCount.alive(nowMillis);
    }

    /** Returns the target of an incarnation. */
    public Optional<Target> find(String id) {
        return Optional.ofNullable(targets.get(id));
    }

    /** Returns the targets of a service that take new work. */
    public List<Target> activeTargets(String service, long nowMillis) {
        dropLapsed(nowMillis);
        List<Target> found = new ArrayList<>();
        for (Target target : targets.values()) {
            if (target.registration().service().equals(service)
                    && !target.registration().draining()) {
                found.add(target);
            }
        }
        return found;
    }

    /**
     * Returns the targets that this relay can't reach, for the others to look at. A relay that reaches fewer than half
     * of its targets is likely cut off itself, and says nothing: its word would have all others dial every target.
     */
    public List<String> unreachableTargets(long nowMillis) {
        Collection<Target> all = all(nowMillis);
        List<String> lost =
                all.stream().filter(Target::isUnreachable).map(Target::id).toList();
        return 2 * lost.size() <= all.size() ? lost : List.of();
    }

    private void remove(String id, long nowMillis) {
        if (logAway || nowMillis - logReturnedAt < RETURN_GRACE_MILLIS) {
            lapsed.putIfAbsent(id, nowMillis);
            return;
        }
        targets.remove(id);
        lapsed.remove(id);
    }

    private void dropLapsed(long nowMillis) {
        if (lapsed.isEmpty() || logAway || nowMillis - logReturnedAt < RETURN_GRACE_MILLIS) {
            return;
        }
        for (Iterator<String> ids = lapsed.keySet().iterator(); ids.hasNext(); ) {
            targets.remove(ids.next());
            ids.remove();
        }
    }
}
