package org.rattanrudder.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.rattanrudder.core.continuation.SoftwareHistory;
import org.rattanrudder.core.fleet.LoadReport.LeavingTarget;
import org.rattanrudder.core.fleet.LoadReport.RemovedTarget;
import org.rattanrudder.core.fleet.LoadReport.SeenRateLimit;
import org.rattanrudder.core.fleet.LoadReport.ServedWeights;
import org.rattanrudder.core.topics.LogPosition;

/**
 * Registry of the known targets, built from a keyed log of their registrations.
 *
 * <p>A record is applied only if it is newer than the last one of its target, by the target's start time and then by
 * its position in the log: after an outage the log may return an older state for a while. A registration that expired
 * while the log was unavailable doesn't mean that its target is down, since the target couldn't renew it; it is kept
 * until the target has had time to register again.
 *
 * <pre>{@code
 * fleet.apply(id, Optional.of(registration), position, now);
 * List<Target> targets = fleet.activeTargets("palivo-llm", now);
 * }</pre>
 */
public final class Fleet {
    /**
     * How long expired registrations are kept after the log has recovered: targets register again within about two
     * seconds, and reading a record takes some hundred ms.
     */
    public static final long LOG_RECOVERY_GRACE_MILLIS = 2_500;

    /** How long a removal is reported: as long as a peer that had lost the log would hold it back, and one report. */
    static final long REMOVAL_REPORTED_MILLIS = LOG_RECOVERY_GRACE_MILLIS + 1_000;

    /**
     * How long a target is treated as loading weights after a peer reported it. It spans several reports, since some
     * may be lost.
     */
    public static final long LOADING_REPORT_VALID_MILLIS = 1_000;

    /**
     * How long a target isn't known again by the registration that it had when another one responded at its address:
     * each time, a request might be lost to it.
     */
    static final long REPLACED_MILLIS = 10_000;

    private final Map<String, Target> targets = new LinkedHashMap<>();
    private final Map<String, NewestRecord> newestRecords = new HashMap<>();
    private final Map<String, Long> expired = new HashMap<>();
    private final Map<String, TargetNotices> notices = new HashMap<>();
    private final Map<String, Removal> removals = new LinkedHashMap<>();
    private final Map<String, Replaced> replaced = new HashMap<>();
    private final Map<String, ServiceCapacity> capacities = new HashMap<>();
    private boolean learnedFiguresUsed;
    private final PeerLoads peers = new PeerLoads();
    private final TargetSharing sharing = new TargetSharing();
    private final Evacuations evacuations = new Evacuations();
    private final SoftwareHistory software = new SoftwareHistory();
    private final LogAvailability log = new LogAvailability();
    private final RemovedStarts removedStarts = new RemovedStarts();
    private final PublishedVersions published;

    /** Whether all targets that were registered at this relay's start are known. */
    private boolean listed;

    /**
     * The newest record that was read of a target.
     *
     * @param startedAt the target's start time
     * @param position the record's position in the log
     */
    private record NewestRecord(long startedAt, LogPosition position) {
        private static final NewestRecord NONE = new NewestRecord(TargetRegistration.START_UNKNOWN, LogPosition.NONE);
    }

    /**
     * A removal that was applied at once, since this relay had the log all the while.
     *
     * @param position the log position of the removal
     * @param at when it was applied
     */
    private record Removal(LogPosition position, long at) {}

    /**
     * A target that was removed since another one responded at its address.
     *
     * @param registration its last registration
     * @param at when it was removed
     */
    private record Replaced(TargetRegistration registration, long at) {}

    /** Creates a registry without targets that takes for true whatever weights are said to be served. */
    public Fleet() {
        this(PublishedVersions.ANY);
    }

    /**
     * Creates a registry without targets.
     *
     * @param published what is known of the published versions of weights
     */
    public Fleet(PublishedVersions published) {
        this.published = published;
    }

    /** Handles that the log has become unavailable. */
    public void onLogUnavailable() {
        log.onUnavailable();
    }

    /** Handles a response of the log. */
    public void onLogAvailable(long nowMillis) {
        log.onAvailable(nowMillis);
    }

    /** Handles that the log has come back from an older copy: registrations may be missing, or be there again. */
    public void onLogReturned() {
        log.onUnavailable();
        software.onRegistrationsMissed();
    }

    /** Handles that all registrations have been read that were there when the log was asked. */
    public void onReadToEnd(long askedAtMillis) {
        if (log.isSettled(askedAtMillis)) {
            targets.values().forEach(target -> target.onRegisteredUntil(askedAtMillis - LOG_RECOVERY_GRACE_MILLIS));
        }
    }

    /**
     * Applies a record of one target: its registration, or empty if it was removed. Returns whether the record was
     * newer.
     */
    public boolean apply(String id, Optional<TargetRegistration> registration, LogPosition position, long nowMillis) {
        if (registration.isPresent()) {
            return applyRegistration(registration.get(), position, nowMillis);
        }
        if (listed && !newestRecords.containsKey(id)) {
            software.restart(nowMillis);
        }
        if (!isNewer(id, position)) {
            return false;
        }
        software.onRemoved(id, nowMillis);
        remove(id, position, nowMillis);
        return true;
    }

    /**
     * Removes a target whose newest record can't be parsed: it was written by another writer and has no address to send
     * to.
     */
    public void onUnreadableRecord(String id, LogPosition position, long nowMillis) {
        if (isNewer(id, position)) {
            software.onUnreadable(id, nowMillis);
            removeAtOnce(id, nowMillis);
        }
    }

    /**
     * Returns whether a record without a start time is newer than the last one of its target, and remembers its
     * position.
     */
    private boolean isNewer(String id, LogPosition position) {
        NewestRecord newest = newestRecords.getOrDefault(id, NewestRecord.NONE);
        newestRecords.put(id, new NewestRecord(newest.startedAt(), LogPosition.latest(newest.position(), position)));
        return position.isAfter(newest.position());
    }

    /**
     * Applies a registration. A target that restarts under the same id has lost its load, connections and weights, and
     * its earlier outcomes don't apply to it, so it is replaced by a new {@code Target}. A record of an earlier start
     * may be written or read after one of the newer start and is ignored.
     */
    private boolean applyRegistration(TargetRegistration registration, LogPosition position, long nowMillis) {
        software.onKnown(registration.service(), registration.softwareVersion(), nowMillis);
        NewestRecord newest = newestRecords.getOrDefault(registration.id(), NewestRecord.NONE);
        boolean restarted = registration.startedAt() > newest.startedAt();
        if (registration.startedAt() < newest.startedAt() || (!restarted && !position.isAfter(newest.position()))) {
            return false;
        }
        if (removedStarts.isOutdated(registration, position, nowMillis)) {
            return false;
        }
        newestRecords.put(registration.id(), new NewestRecord(registration.startedAt(), position));
        if (isReplaced(registration, nowMillis)) {
            return false;
        }
        software.onRegistered(registration.id(), registration.service(), registration.softwareVersion(), nowMillis);
        expired.remove(registration.id());
        removedStarts.onRegistered(registration.id());
        if (registration.draining()) {
            noticesOf(registration).onLeaving();
        }
        Target target = targets.get(registration.id());
        boolean started = listed && (target == null || restarted);
        if (target == null || restarted) {
            target = new Target(
                    registration, noticesOf(registration), peers, sharing, capacity(registration.service()), published);
            targets.put(registration.id(), target);
        } else {
            target.update(registration);
        }
        recordWarmUp(target, started, nowMillis);
        return true;
    }

    private TargetNotices noticesOf(TargetRegistration registration) {
        return notices(registration.id(), registration.startedAt());
    }

    /** Returns the notices of an incarnation, or of a later one if that is known. */
    private TargetNotices notices(String target, long startedAt) {
        return notices.compute(
                target,
                (id, known) -> known == null || known.startedAt() < startedAt ? new TargetNotices(startedAt) : known);
    }

    /** A report of an earlier incarnation says nothing of the one that is known. */
    private void onLeavingReported(LeavingTarget leaving) {
        TargetNotices known = notices(leaving.target(), leaving.startedAt());
        if (known.startedAt() == leaving.startedAt()) {
            known.onLeaving();
        }
    }

    /** Returns the known targets that leave. */
    public List<LeavingTarget> leavingTargets(long nowMillis) {
        return all(nowMillis).stream()
                .filter(Target::isLeaving)
                .map(target ->
                        new LeavingTarget(target.id(), target.registration().startedAt()))
                .toList();
    }

    /** A target that says nothing of its warm-up warms up if it has started since this relay listed all targets. */
    private static void recordWarmUp(Target target, boolean started, long nowMillis) {
        OptionalLong reported = target.registration().warmUpMillis();
        if (reported.isPresent()) {
            target.warmUp().onReported(reported.getAsLong(), nowMillis);
        } else if (started) {
            target.warmUp().onStarted(nowMillis);
        }
    }

    /**
     * Applies a full listing: removes targets that aren't listed, unless their last record is newer than the listing.
     */
    public void applyListing(Set<String> present, LogPosition end, long nowMillis) {
        listed = true;
        removedStarts.onListed(end);
        software.onListed(present, nowMillis);
        for (String id : List.copyOf(targets.keySet())) {
            if (!present.contains(id) && newestRecords.get(id).position().isBefore(end)) {
                remove(id, end, nowMillis);
            }
        }
    }

    /** Handles that registrations may exist that were never read, since the log ends before what was read of it. */
    public void onRegistrationsMissed() {
        software.onRegistrationsMissed();
    }

    /** Removes a target at whose address another target responded; it isn't known again by the same registration. */
    public void removeReplaced(String id, long nowMillis) {
        removeAtOnce(id, nowMillis)
                .ifPresent(removed -> replaced.put(id, new Replaced(removed.registration(), nowMillis)));
    }

    private Optional<Target> removeAtOnce(String id, long nowMillis) {
        expired.remove(id);
        return removeNow(id, nowMillis);
    }

    /** Returns whether another target has responded lately at the address of just this registration. */
    private boolean isReplaced(TargetRegistration registration, long nowMillis) {
        Replaced last = replaced.get(registration.id());
        if (last == null) {
            return false;
        }
        boolean same = nowMillis - last.at() < REPLACED_MILLIS && !registration.differsFrom(last.registration());
        if (!same) {
            replaced.remove(registration.id());
        }
        return same;
    }

    private Optional<Target> removeNow(String id, long nowMillis) {
        Optional<Target> removed = Optional.ofNullable(targets.remove(id));
        removed.ifPresent(target -> removedStarts.onRemoved(target.registration(), nowMillis));
        recordSoftware(removed, nowMillis);
        return removed;
    }

    private void recordSoftware(Optional<Target> target, long nowMillis) {
        target.map(Target::registration)
                .ifPresent(known -> software.onKnown(known.service(), known.softwareVersion(), nowMillis));
    }

    /** Returns what registrations say of the software that all targets of a service have run since a time. */
    public SoftwareHistory.Evidence softwareSince(String service, long sinceMillis, long nowMillis) {
        all(nowMillis).forEach(target -> recordSoftware(Optional.of(target), nowMillis));
        return software.evidence(service, sinceMillis, nowMillis);
    }

    /** Returns all targets, including those that leave. */
    public Collection<Target> all(long nowMillis) {
        removeExpired(nowMillis);
        return targets.values();
    }

    /**
     * Sets the relays that share the targets. Until the first call this relay shares all targets.
     *
     * @param self this relay's name
     * @param domains the failure domain of each relay by name, including this one
     */
    public void updateRelays(String self, Map<String, String> domains) {
        sharing.updateRelays(self, domains);
    }

    /** Applies the load report of a peer. */
    public void applyLoadReport(LoadReport report, long nowMillis) {
        peers.apply(report, nowMillis);
        report.loading()
                .forEach(id -> find(id).ifPresent(
                                target -> target.markLoadingWeights(nowMillis + LOADING_REPORT_VALID_MILLIS)));
        report.served().forEach(served -> onServedReported(served, nowMillis));
        report.leaving().forEach(this::onLeavingReported);
        report.removed().forEach(removed -> onRemovalReported(removed, nowMillis));
        for (SeenRateLimit seen : report.rateLimits()) {
            find(seen.target()).ifPresent(target -> target.applyRateLimit(seen, nowMillis));
        }
    }

    /** An incarnation that has restarted serves the weights that it started with, whatever the earlier one served. */
    private void onServedReported(ServedWeights served, long nowMillis) {
        find(served.target())
                .filter(target -> target.registration().startedAt() == served.startedAt())
                .ifPresent(target -> target.confirmWeights(served.model(), served.version(), nowMillis));
    }

    /** Returns whether any live peer accepts new connections. */
    public boolean anyPeerReady(long nowMillis) {
        return peers.anyReady(nowMillis);
    }

    /** Returns the names of the peers whose last load report is fresh. */
    public Set<String> livePeers(long nowMillis) {
        return peers.livePeers(nowMillis);
    }

    /** Returns how many peers have a fresh load report. */
    public int livePeerCount(long nowMillis) {
        return peers.liveCount(nowMillis);
    }

    /** Returns the target with the given id. */
    public Optional<Target> find(String id) {
        return Optional.ofNullable(targets.get(id));
    }

    /** Sets whether learned figures apply to engines that report no pace too. */
    public void useLearnedFigures(boolean used) {
        learnedFiguresUsed = used;
    }

    /** Returns how fast the targets of a service usually are. */
    public ServiceCapacity capacity(String service) {
        return capacities.computeIfAbsent(service, unseen -> new ServiceCapacity(() -> learnedFiguresUsed));
    }

    /** Returns the services to which learned figures apply. */
    public Set<String> servicesWithLearnedFigures(long nowMillis) {
        Set<String> paced = new TreeSet<>();
        capacities.forEach((service, known) -> {
            if (known.usesLearnedFigures(nowMillis)) {
                paced.add(service);
            }
        });
        return paced;
    }

    /** Returns the failure domains that operators have evacuated. */
    public Evacuations evacuations() {
        return evacuations;
    }

    /** Returns the targets of a service that may get requests: neither they nor their failure domains are leaving. */
    public List<Target> usableTargets(String service, long nowMillis) {
        return targets(service, target -> !isLeaving(target), nowMillis);
    }

    /** Returns whether a target may get requests: it is the one that is known by its id, and it isn't leaving. */
    public boolean isUsable(Target target) {
        return targets.get(target.id()) == target && !isLeaving(target);
    }

    private boolean isLeaving(Target target) {
        return target.isLeaving()
                || evacuations.isEvacuated(target.registration().failureDomain());
    }

    /** Returns the targets of a service that don't leave, including those of evacuated failure domains. */
    public List<Target> activeTargets(String service, long nowMillis) {
        return targets(service, target -> !target.isLeaving(), nowMillis);
    }

    private List<Target> targets(String service, Predicate<Target> wanted, long nowMillis) {
        removeExpired(nowMillis);
        List<Target> found = new ArrayList<>();
        for (Target target : targets.values()) {
            if (target.registration().service().equals(service) && wanted.test(target)) {
                found.add(target);
            }
        }
        return found;
    }

    /**
     * Returns the targets that this relay can't reach, so that peers can probe them. A relay that can't reach more than
     * half of its targets is probably cut off itself and returns none: its report would make every peer dial every
     * target.
     */
    public List<String> unreachableTargets(long nowMillis) {
        Collection<Target> all = all(nowMillis);
        List<String> unreachable =
                all.stream().filter(Target::isUnreachable).map(Target::id).toList();
        return 2 * unreachable.size() <= all.size() ? unreachable : List.of();
    }

    private void remove(String id, LogPosition position, long nowMillis) {
        if (!log.isSettled(nowMillis)) {
            expired.putIfAbsent(id, nowMillis);
            return;
        }
        if (removeNow(id, nowMillis).isPresent()) {
            removals.put(id, new Removal(position, nowMillis));
        }
        expired.remove(id);
    }

    /**
     * Applies a removal that is held back here, since this relay had lost the log, and that a peer which hadn't has
     * applied.
     */
    private void onRemovalReported(RemovedTarget removed, long nowMillis) {
        boolean isOlder = newestRecords
                .getOrDefault(removed.target(), NewestRecord.NONE)
                .position()
                .isAfter(removed.position());
        if (!isOlder && expired.remove(removed.target()) != null) {
            removeNow(removed.target(), nowMillis);
        }
    }

    /** Returns the removals that were applied lately and not held back, for peers that had lost the log. */
    public List<RemovedTarget> removedTargets(long nowMillis) {
        removals.values().removeIf(removal -> nowMillis - removal.at() > REMOVAL_REPORTED_MILLIS);
        return removals.entrySet().stream()
                .map(removal ->
                        new RemovedTarget(removal.getKey(), removal.getValue().position()))
                .toList();
    }

    private void removeExpired(long nowMillis) {
        if (expired.isEmpty() || !log.isSettled(nowMillis)) {
            return;
        }
        for (Iterator<String> ids = expired.keySet().iterator(); ids.hasNext(); ) {
            removeNow(ids.next(), nowMillis);
            ids.remove();
        }
    }
}
