package org.rattanrudder.core.fleet;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.rattanrudder.core.fleet.LoadReport.TargetLoad;

/**
 * The load that peers have reported at each target.
 *
 * <p>An engine's own load figures are delayed and count requests rather than memory. Relays know their own requests
 * exactly and send each other load reports: full ones at intervals, and incremental ones right after each dispatch,
 * since relays that see the same idle engine would otherwise fill it together.
 */
public final class PeerLoads {
    /**
     * Minimum time for which a report is valid: some reports may be lost, and the load of a relay that crashed is gone.
     * Reports with a long interval are valid for several intervals.
     */
    public static final long MIN_VALID_MILLIS = 2_000;

    private static final int VALID_INTERVALS = 3;

    private final Map<String, ReceivedReport> relays = new HashMap<>();

    /** Total load of all peers by target, cached until one of the summands changes. */
    private final Map<String, TargetLoad> sums = new HashMap<>();

    /** Requests that peers sent within the last second, by target. */
    private final Map<String, RecentSends> sends = new HashMap<>();

    private long staleRemovedAt = Long.MIN_VALUE;

    private record ReceivedReport(
            long receivedAtMillis, long sequence, boolean ready, long intervalMillis, Map<String, TargetLoad> targets) {
        boolean isValid(long nowMillis) {
            return nowMillis - receivedAtMillis <= Math.max(MIN_VALID_MILLIS, VALID_INTERVALS * intervalMillis);
        }
    }

    /** Applies a load report; reports older than the last one of the same relay are dropped. */
    public void apply(LoadReport report, long nowMillis) {
        ReceivedReport previous = relays.get(report.relay());
        if (previous != null && previous.sequence() >= report.sequence()) {
            return;
        }
        report.targets().forEach(load -> recordSends(previous, load, nowMillis));
        if (report.full()) {
            sends.values().removeIf(recent -> recent.sent(nowMillis) == 0);
            // Also drops sums of targets that no peer has requests at any more.
            sums.clear();
        }
        Map<String, TargetLoad> targets = report.full() || previous == null ? new HashMap<>() : previous.targets();
        for (TargetLoad each : report.targets()) {
            targets.put(each.target(), each);
            sums.remove(each.target());
        }
        long intervalMillis = report.full() || previous == null ? report.intervalMillis() : previous.intervalMillis();
        relays.put(
                report.relay(),
                new ReceivedReport(nowMillis, report.sequence(), report.ready(), intervalMillis, targets));
    }

    /** A peer reports each placement, so what its load has grown by since its last report was sent just before. */
    private void recordSends(ReceivedReport previous, TargetLoad load, long nowMillis) {
        if (previous == null) {
            return;
        }
        TargetLoad before = previous.targets().get(load.target());
        int grown = load.requests() - (before == null ? 0 : before.requests());
        if (grown > 0) {
            sends.computeIfAbsent(load.target(), unseen -> new RecentSends()).add(grown, nowMillis);
        }
    }

    /** Returns how many requests peers are known to have sent to a target within the last second. */
    public int sentWithinSecond(String target, long nowMillis) {
        RecentSends recent = sends.get(target);
        return recent == null ? 0 : recent.sent(nowMillis);
    }

    /** Returns the peers whose last report is fresh. */
    public Set<String> livePeers(long nowMillis) {
        removeStale(nowMillis);
        return Collections.unmodifiableSet(relays.keySet());
    }

    /** Returns whether any live peer accepts new connections. */
    public boolean anyReady(long nowMillis) {
        removeStale(nowMillis);
        return relays.values().stream().anyMatch(ReceivedReport::ready);
    }

    /** Returns how many peers have a fresh report. */
    public int liveCount(long nowMillis) {
        removeStale(nowMillis);
        return relays.size();
    }

    /** Returns the total load of all peers at a target. */
    public TargetLoad totalAt(String target, long nowMillis) {
        removeStale(nowMillis);
        return sums.computeIfAbsent(target, this::sum);
    }

    private TargetLoad sum(String target) {
        TargetLoad sum = TargetLoad.none(target);
        for (ReceivedReport report : relays.values()) {
            TargetLoad load = report.targets().get(target);
            sum = load == null ? sum : sum.plus(load);
        }
        return sum;
    }

    /**
     * Removes peers whose report is stale. Skips calls within the same millisecond, since a placement calls it once per
     * target.
     */
    private void removeStale(long nowMillis) {
        if (nowMillis == staleRemovedAt) {
            return;
        }
        staleRemovedAt = nowMillis;
        if (relays.values().removeIf(report -> !report.isValid(nowMillis))) {
            sums.clear();
        }
    }
}
