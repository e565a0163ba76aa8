package org.rattanrudder.core.orders;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.rattanrudder.core.log.BatchDeduplicator;
import org.rattanrudder.core.log.LogEntry;
import org.rattanrudder.core.log.LogRecord;
import org.rattanrudder.core.model.ServiceName;

/**
 * Tracks the leases of targets and the claims to load weights that one reader has read from the orders stream.
 *
 * <p>Which lease is the newest and which claim came first depends on the order of the log only. Expiry depends on this
 * reader's clock and counts from the time at which it read the record. A lease or claim counts as expired only once a
 * later read has reached the end of the log, since until then an unread renewal may be there.
 */
public final class OrderLedger {
    /** Maximum number of concurrent weight loads of a service; with more, the weight store slows down. */
    public static final int MAX_CONCURRENT_LOADS = 2;

    private static final int MAX_FENCING_NUMBERS = 16;
    private static final long DUPLICATE_WINDOW_MICROS = 3_600_000_000L;

    private final Map<TargetKey, Lease> leases = new HashMap<>();
    private final Map<TargetKey, Deque<Long>> fencingNumbers = new HashMap<>();
    /** Holders of each target in the order of their first records, and the time at which their last record expires. */
    private final Map<TargetKey, Map<Long, Long>> holders = new HashMap<>();

    private final Map<ServiceName, Map<Claimant, Claim>> claims = new HashMap<>();
    private final BatchDeduplicator deduplicator = new BatchDeduplicator(DUPLICATE_WINDOW_MICROS);
    private long claimCount;
    private long endTrustedFromMicros = Long.MIN_VALUE;
    private long endReachedMicros = Long.MIN_VALUE / 2;

    /**
     * The newest lease of a target.
     *
     * @param offset its log offset, which is the fencing number
     * @param holder the incarnation of the companion that holds it
     * @param othersExpiryMicros when all earlier leases of other holders have expired
     * @param expiryMicros when it expires for companions other than its holder
     */
    public record Lease(long offset, long holder, long othersExpiryMicros, long expiryMicros) {}

    /**
     * A companion that claims the right to load weights into a target.
     *
     * @param target the target that loads
     * @param holder the incarnation of its companion
     */
    public record Claimant(TargetKey target, long holder) {}

    private record Claim(long position, long expiryMicros) {}

    /** Applies a record. Returns false for a duplicate of a batch, which is ignored. */
    public boolean apply(LogRecord record, long nowMicros) {
        if (!deduplicator.admit(record, nowMicros)) {
            return false;
        }
        for (LogEntry entry : record.batch().entries()) {
            if (entry instanceof LogEntry.OrderLease lease) {
                apply(lease, record.offset(), nowMicros);
            } else if (entry instanceof LogEntry.LoadClaim claim) {
                apply(claim, nowMicros);
            } else if (entry instanceof LogEntry.LoadRelease release) {
                TargetKey target = new TargetKey(release.service(), release.target());
                claimsOf(release.service()).remove(new Claimant(target, release.holder()));
            }
        }
        return true;
    }

    /**
     * Handles a pause of this process that has just ended.
     *
     * <p>A read result from before the pause may be handled after it, and its end of the log would pass for the present
     * end. Claims and leases that were renewed during the pause would then seem expired, and a third load could start.
     * So the end of the log is not trusted until no such result can arrive any more.
     *
     * @param nowMicros the time of the first event after the pause
     * @param staleReadMicros for how long results of reads from before the pause may still arrive
     */
    public void onPause(long nowMicros, long staleReadMicros) {
        endTrustedFromMicros = nowMicros + staleReadMicros;
    }

    /** Handles a read that has reached the end of the log: removes expired claims and holders. */
    public void onEndReached(long nowMicros) {
        if (nowMicros < endTrustedFromMicros) {
            return;
        }
        endReachedMicros = nowMicros;
        for (Map<Claimant, Claim> each : claims.values()) {
            each.values().removeIf(claim -> claim.expiryMicros() <= endReachedMicros);
        }
        holders.values().removeIf(each -> each.values().stream().allMatch(expiry -> expiry <= endReachedMicros));
    }

    /** Returns the newest lease of a target. */
    public Optional<Lease> lease(TargetKey target) {
        return Optional.ofNullable(leases.get(target));
    }

    /** Returns whether no other holder has an unexpired lease. */
    public boolean isFreeFor(TargetKey target, long holder) {
        Lease lease = leases.get(target);
        return lease == null || lease.holder() == holder || lease.expiryMicros() <= endReachedMicros;
    }

    /** Returns whether all leases that other holders had before the newest one have expired. */
    public boolean haveOthersExpired(TargetKey target) {
        Lease lease = leases.get(target);
        return lease == null || lease.othersExpiryMicros() <= endReachedMicros;
    }

    /** Returns whether another holder, whose first record is later than this one's, hasn't expired yet. */
    public boolean hasSuccessor(TargetKey target, long holder) {
        boolean after = false;
        for (Map.Entry<Long, Long> each : holders.getOrDefault(target, Map.of()).entrySet()) {
            if (after && each.getValue() > endReachedMicros) {
                return true;
            }
            after |= each.getKey() == holder;
        }
        return false;
    }

    /** Returns whether this is the offset of one of the target's most recent leases. */
    public boolean isRecentLeaseOffset(TargetKey target, long offset) {
        return fencingNumbers.getOrDefault(target, new ArrayDeque<>()).contains(offset);
    }

    /** Returns whether the claim is among the first {@link #MAX_CONCURRENT_LOADS} of its service. */
    public boolean mayLoad(Claimant claimant) {
        Map<Claimant, Claim> all = claimsOf(claimant.target().service());
        Claim own = all.get(claimant);
        if (own == null) {
            return false;
        }
        long ahead = all.values().stream()
                .filter(other -> other.position() < own.position())
                .count();
        return ahead < MAX_CONCURRENT_LOADS;
    }

    /** Returns whether the claim has been read and neither released nor expired. */
    public boolean hasClaim(Claimant claimant) {
        return claimsOf(claimant.target().service()).containsKey(claimant);
    }

    /** Returns the claims of other companions for the same target. */
    public List<Claimant> claimsOfOthers(Claimant claimant) {
        List<Claimant> others = new ArrayList<>();
        for (Claimant each : claimsOf(claimant.target().service()).keySet()) {
            if (each.target().equals(claimant.target()) && each.holder() != claimant.holder()) {
                others.add(each);
            }
        }
        return others;
    }

    private void apply(LogEntry.OrderLease entry, long offset, long nowMicros) {
        TargetKey target = new TargetKey(entry.service(), entry.target());
        Lease before = leases.get(target);
        recordHolder(target, entry.holder(), nowMicros + observedTermMicros(entry.termMillis()));
        long othersExpiry = Long.MIN_VALUE;
        if (before != null) {
            othersExpiry = before.holder() == entry.holder()
                    ? before.othersExpiryMicros()
                    : Math.max(before.othersExpiryMicros(), before.expiryMicros());
        }
        Deque<Long> recent = fencingNumbers.computeIfAbsent(target, any -> new ArrayDeque<>());
        recent.addLast(offset);
        if (recent.size() > MAX_FENCING_NUMBERS) {
            recent.removeFirst();
        }
        leases.put(
                target,
                new Lease(offset, entry.holder(), othersExpiry, nowMicros + observedTermMicros(entry.termMillis())));
    }

    private void apply(LogEntry.LoadClaim entry, long nowMicros) {
        TargetKey target = new TargetKey(entry.service(), entry.target());
        // A renewal keeps the position of the original claim.
        claimCount++;
        recordHolder(target, entry.holder(), nowMicros + observedTermMicros(entry.termMillis()));
        claimsOf(entry.service())
                .merge(
                        new Claimant(target, entry.holder()),
                        new Claim(claimCount, nowMicros + observedTermMicros(entry.termMillis())),
                        (first, renewal) -> new Claim(first.position(), renewal.expiryMicros()));
    }

    private void recordHolder(TargetKey target, long holder, long expiryMicros) {
        holders.computeIfAbsent(target, any -> new LinkedHashMap<>()).merge(holder, expiryMicros, Math::max);
    }

    private Map<Claimant, Claim> claimsOf(ServiceName service) {
        return claims.computeIfAbsent(service, any -> new LinkedHashMap<>());
    }

    private static long observedTermMicros(long termMillis) {
        return OrderSettings.observedTermMicros(termMillis * 1_000);
    }
}
