package org.rattanrudder.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Decides which peers a relay sends a full load report, and when.
 *
 * <p>In a small fleet every peer gets one each round. In a large one, peers in the same failure domain get reports more
 * often than others, since they choose among the same targets. The interval grows with the number of peers, so that the
 * number of messages per relay stays about constant, and peers with long intervals are spread evenly over the rounds.
 *
 * <p>Times are milliseconds of a monotonic clock.
 */
public final class ReportSchedule {
    /** Interval between rounds: in a small fleet, the delay with which peers learn of finished requests. */
    public static final long ROUND_MILLIS = 100;

    /** Up to this many peers get a report in each round. */
    private static final int MAX_PEERS_EVERY_ROUND = 8;

    private static final long MIN_NEAR_INTERVAL_MILLIS = 200;
    private static final long MIN_FAR_INTERVAL_MILLIS = 800;

    /** Interval per peer of a group, which limits the rate to 50 messages a second for each group. */
    private static final long INTERVAL_MILLIS_PER_RELAY = 20;

    /**
     * An unresponsive peer gets a report at its first turn after this many rounds. A peer that has never sent a report
     * may have just started, as all of them do after a power failure, so it gets one at its first turn.
     */
    private static final int UNRESPONSIVE_PEER_ROUNDS = 10;

    /** How long after its last report a peer counts as live. */
    public static final long LIVE_MILLIS = 5_000;

    /** How long after its last report a peer counts as ended, while most others are heard. */
    private static final long ENDED_MILLIS = 30_000;

    private final Map<String, Peer> peers = new TreeMap<>();
    private long round;

    private static final class Peer {
        private final String failureDomain;
        private final boolean near;
        private long lastReportAt = Long.MIN_VALUE / 2;
        private final long addedAt;
        private boolean reported;

        Peer(String failureDomain, boolean near, long addedAt) {
            this.failureDomain = failureDomain;
            this.near = near;
            this.addedAt = addedAt;
        }

        boolean isSilent(long nowMillis) {
            return nowMillis - Math.max(addedAt, lastReportAt) > ENDED_MILLIS;
        }
    }

    /**
     * Peers that are due in a round.
     *
     * @param relays their names
     * @param intervalMillis the time until they are due again
     * @param intervalRounds the same in rounds
     */
    public record Due(List<String> relays, long intervalMillis, int intervalRounds) {
        public Due {
            relays = List.copyOf(relays);
        }
    }

    /** Creates a schedule without peers. */
    public ReportSchedule() {}

    /** Adds a registered peer, or updates its failure domain. */
    public void addRelay(String relay, String failureDomain, boolean near, long nowMillis) {
        peers.put(relay, new Peer(failureDomain, near, nowMillis));
    }

    /** Removes a peer that is no longer registered. */
    public void removeRelay(String relay) {
        peers.remove(relay);
    }

    /** Records a report of a peer. */
    public void onReport(String relay, long nowMillis) {
        Peer peer = peers.get(relay);
        if (peer != null) {
            peer.lastReportAt = nowMillis;
        }
    }

    /** Returns whether the peer has sent a report recently. Peers that aren't live get no incremental reports. */
    public boolean isLive(String relay, long nowMillis) {
        Peer peer = peers.get(relay);
        return peer != null && nowMillis - peer.lastReportAt <= LIVE_MILLIS;
    }

    /** Returns the failure domains of the live peers by name. */
    public Map<String, String> liveRelayDomains(long nowMillis) {
        return peers.entrySet().stream()
                .filter(entry -> isLive(entry.getKey(), nowMillis))
                .collect(Collectors.toMap(Map.Entry::getKey, entry -> entry.getValue().failureDomain));
    }

    /**
     * Returns the failure domains of the registered peers by name, without those that ended long ago. A peer counts as
     * ended if it has been silent for long while half of all peers haven't: else this relay may be cut off itself, and
     * the silent ones may still send requests.
     */
    public Map<String, String> registeredRelayDomains(long nowMillis) {
        long silent =
                peers.values().stream().filter(peer -> peer.isSilent(nowMillis)).count();
        boolean drop = 2 * silent <= peers.size();
        return peers.entrySet().stream()
                .filter(entry -> !drop || !entry.getValue().isSilent(nowMillis))
                .collect(Collectors.toMap(Map.Entry::getKey, entry -> entry.getValue().failureDomain));
    }

    /** Starts the next round and returns the peers that are due, grouped by interval, without empty groups. */
    public List<Due> nextRound(long nowMillis) {
        List<Due> due = peers.size() <= MAX_PEERS_EVERY_ROUND
                ? List.of(due(any -> true, ROUND_MILLIS, 0, nowMillis))
                : List.of(
                        due(peer -> peer.near, MIN_NEAR_INTERVAL_MILLIS, INTERVAL_MILLIS_PER_RELAY, nowMillis),
                        due(peer -> !peer.near, MIN_FAR_INTERVAL_MILLIS, INTERVAL_MILLIS_PER_RELAY, nowMillis));
        round++;
        return due.stream().filter(group -> !group.relays().isEmpty()).toList();
    }

    /**
     * Returns the longest time between two reports of any relay to one peer. It is the same for all relays that know
     * each other, however many are in the failure domain of each.
     */
    public long longestIntervalMillis() {
        return peers.size() <= MAX_PEERS_EVERY_ROUND
                ? ROUND_MILLIS
                : intervalRounds(MIN_FAR_INTERVAL_MILLIS, INTERVAL_MILLIS_PER_RELAY, peers.size()) * ROUND_MILLIS;
    }

    private static int intervalRounds(long minMillis, long millisPerRelay, int relays) {
        long wanted = Math.max(minMillis, millisPerRelay * relays);
        return (int) ((wanted + ROUND_MILLIS - 1) / ROUND_MILLIS);
    }

    private Due due(Predicate<Peer> group, long minMillis, long millisPerRelay, long nowMillis) {
        List<String> names = peers.entrySet().stream()
                .filter(entry -> group.test(entry.getValue()))
                .map(Map.Entry::getKey)
                .toList();
        int rounds = intervalRounds(minMillis, millisPerRelay, names.size());
        boolean includeUnresponsive = round / rounds % Math.max(1, UNRESPONSIVE_PEER_ROUNDS / rounds) == 0;
        List<String> relays = new ArrayList<>();
        for (int index = (int) (round % rounds); index < names.size(); index += rounds) {
            String name = names.get(index);
            Peer peer = peers.get(name);
            if (includeUnresponsive || !peer.reported || isLive(name, nowMillis)) {
                peer.reported = true;
                relays.add(name);
            }
        }
        return new Due(relays, rounds * ROUND_MILLIS, rounds);
    }
}
