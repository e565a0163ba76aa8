package org.rattanrudder.core.parts;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.LongStream;
import org.rattanrudder.core.routing.Hashing;

/**
 * Agrees with peers from which weights on parts are fetched, and before which they may be evicted.
 *
 * <p>A relay knows only the targets that it has read of itself. While it sees all of them serve newer weights, a peer
 * that has lost the log may still send requests to one that was removed, and have it fetch parts of the old weights. So
 * relays vote. A relay votes to retire all weights before a version once no target that it knows serves them, or once a
 * majority has; it never takes a vote back, and plans no fetch of weights that it has voted to retire.
 *
 * <p>Parts are evicted some time after a majority of the registered relays has voted, and fetched only while a majority
 * hasn't, by its latest reports. Two majorities share a relay, so a relay that still fetches has heard of no majority
 * of votes since its last reports, and soon stops, by what it hears or because it hears nothing. A relay that hears no
 * majority fetches only what the log has lately named as the newest weights: parts before a version aren't evicted
 * until some time after that version was named.
 *
 * <p>A relay that restarts has forgotten its vote. Until it has read the log, it fetches nothing, and doesn't count
 * among those that haven't voted. Then it votes to retire what isn't the newest in the log; nothing was voted for that
 * wasn't named before.
 *
 * <p>Versions are of the only model that has desired versions; with several, nobody votes. Times are milliseconds of a
 * monotonic clock.
 */
public final class RetiredWeights {
    /** How long a peer's report shows that it hasn't voted at least, so that some reports may be lost. */
    static final long MIN_REPORT_VALID_MILLIS = 1_000;

    /** How long a report may be under way, and wait to be read by a relay that isn't late. */
    static final long REPORT_DELAY_MILLIS = 500;

    /** How long an answer of the log shows which weights are the newest, from when it was asked for: two long polls. */
    static final long LOG_READ_VALID_MILLIS = 3_000;

    /** How long after all relays have voted a part may be fetched: each has stopped before it sent its vote. */
    static final long WAIT_AFTER_ALL_MILLIS = PartRetirement.WAIT_MILLIS;

    /** The same after a majority has voted: others may go by earlier reports of that majority. */
    static final long MIN_WAIT_AFTER_MAJORITY_MILLIS = waitAfterMajorityMillis(MIN_REPORT_VALID_MILLIS);

    /** How long after newer weights were named a part may be fetched on the word of the log. */
    static final long WAIT_AFTER_NAMED_MILLIS = LOG_READ_VALID_MILLIS + PartRetirement.WAIT_MILLIS;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final String self;
    private final Map<String, PeerVote> peers = new HashMap<>();
    private final PartRetirement afterAll = new PartRetirement(WAIT_AFTER_ALL_MILLIS);
    private PartRetirement afterMajority = new PartRetirement(MIN_WAIT_AFTER_MAJORITY_MILLIS);
    private final PartRetirement afterNamed = new PartRetirement(WAIT_AFTER_NAMED_MILLIS);
    private Set<String> relays = Set.of();
    private long relaysHash;
    private long reportValidMillis = MIN_REPORT_VALID_MILLIS;
    private long retiredBefore;
    private boolean started;
    private long logReadAt = NEVER;

    /**
     * The latest that a peer has reported.
     *
     * @param retiredBefore its vote
     * @param relaysHash a hash of the relays that it knows
     * @param heardAt when its last report arrived that shows whether it has voted
     */
    private record PeerVote(long retiredBefore, long relaysHash, long heardAt) {
        private static final PeerVote UNHEARD = new PeerVote(0, 0, NEVER);
    }

    /**
     * Creates a state without votes.
     *
     * @param self the name of this relay
     */
    public RetiredWeights(String self) {
        this.self = self;
    }

    private static long waitAfterMajorityMillis(long reportValidMillis) {
        return reportValidMillis + REPORT_DELAY_MILLIS + PartRetirement.WAIT_MILLIS;
    }

    /**
     * Sets the relays that are registered, including this one; none until they are known.
     *
     * @param reportIntervalMillis the longest time between two reports of one relay to another
     */
    public void updateRelays(Set<String> registered, long reportIntervalMillis) {
        long valid = Math.max(MIN_REPORT_VALID_MILLIS, reportIntervalMillis + REPORT_DELAY_MILLIS);
        if (valid != reportValidMillis) {
            reportValidMillis = valid;
            afterMajority = new PartRetirement(waitAfterMajorityMillis(valid));
        }
        if (!relays.equals(registered)) {
            relays = Set.copyOf(registered);
            relaysHash = relays.stream().mapToLong(Hashing::of).reduce(0, (left, right) -> left ^ right);
            adoptMajority();
        }
    }

    /**
     * Votes to retire what is older than the newest weights that the log has named at this relay's start.
     *
     * @param newestNamed their version; 0 if there are none
     */
    public void onStarted(long newestNamed) {
        started = true;
        vote(newestNamed);
    }

    /** Votes to retire what is older than the oldest weights that a known target serves; 0 if they are unknown. */
    public void updateOldestServed(long version) {
        vote(version);
    }

    private void vote(long version) {
        retiredBefore = Math.max(retiredBefore, version);
    }

    /**
     * Handles a peer's report; one that may have waited unread for longer than a moment shows only its vote.
     *
     * @param atMostMillis the longest time that may have passed
     */
    public void onPeerReport(String relay, RetirementReport report, boolean current, long atMostMillis) {
        PeerVote before = peers.getOrDefault(relay, PeerVote.UNHEARD);
        peers.put(
                relay,
                new PeerVote(
                        Math.max(before.retiredBefore(), report.retiredBefore()),
                        report.relaysHash(),
                        current && report.logRead() ? atMostMillis : before.heardAt()));
        adoptMajority();
    }

    private void adoptMajority() {
        vote(majorityVote());
    }

    /** Handles that the log's newest weights were read, and when the answer was asked for, by the longest time. */
    public void onLogRead(long askedAtMostMillis) {
        logReadAt = Math.max(logReadAt, askedAtMostMillis);
    }

    /** Returns what to report to peers. */
    public RetirementReport report() {
        return new RetirementReport(retiredBefore, started, relaysHash);
    }

    /** Returns the version of weights before which this relay fetches no parts; 0 if there is none. */
    public long retiredBefore() {
        return retiredBefore;
    }

    /**
     * Returns whether parts of the given weights may be fetched.
     *
     * @param newestNamed the newest version that this relay has read of in the log; 0 if there is none
     * @param atMostMillis the longest time that may have passed
     */
    public boolean mayFetch(long version, long newestNamed, long atMostMillis) {
        if (!started || version < retiredBefore) {
            return false;
        }
        boolean readsLog = atMostMillis - logReadAt <= LOG_READ_VALID_MILLIS;
        return readsLog && version >= newestNamed || isHeldByMajority(version, readsLog, atMostMillis);
    }

    /**
     * Returns whether a majority, this relay among it, hasn't voted to retire a version by its latest reports. A relay
     * that knows of no other one may have missed that others have registered, unless it still reads the log.
     */
    private boolean isHeldByMajority(long version, boolean readsLog, long atMostMillis) {
        if (!relays.contains(self) || relays.size() == 1 && !readsLog) {
            return false;
        }
        long otherHolders = otherVotes().stream()
                .filter(peer -> peer.retiredBefore() <= version)
                .filter(peer -> atMostMillis - peer.heardAt() <= reportValidMillis)
                .count();
        return 1 + otherHolders >= majority();
    }

    /**
     * Returns the version before which parts may be evicted; 0 if none may.
     *
     * @param newestNamed the newest version that this relay has read of in the log; 0 if there is none
     * @param nowMillis the shortest time that may have passed
     */
    public long evictableBefore(long newestNamed, long nowMillis) {
        afterNamed.update(newestNamed, nowMillis);
        afterAll.update(unanimousVote(), nowMillis);
        afterMajority.update(majorityVote(), nowMillis);
        long agreed = Math.max(afterAll.evictableBefore(nowMillis), afterMajority.evictableBefore(nowMillis));
        return Math.min(agreed, afterNamed.evictableBefore(nowMillis));
    }

    /** Returns the lowest vote; 0 unless all relays were heard and know the same relays. */
    private long unanimousVote() {
        boolean sameRelays = otherVotes().stream().allMatch(peer -> peer.relaysHash() == relaysHash);
        return sameRelays ? sortedVotes().findFirst().orElse(0) : 0;
    }

    /** Returns the highest version for which a majority of the registered relays has voted. */
    private long majorityVote() {
        long[] sorted = sortedVotes().toArray();
        return sorted.length == 0 ? 0 : sorted[sorted.length - majority()];
    }

    private LongStream sortedVotes() {
        long[] votes = relays.contains(self) ? votes() : new long[0];
        Arrays.sort(votes);
        return Arrays.stream(votes);
    }

    private long[] votes() {
        return LongStream.concat(
                        LongStream.of(retiredBefore), otherVotes().stream().mapToLong(PeerVote::retiredBefore))
                .toArray();
    }

    private Collection<PeerVote> otherVotes() {
        return relays.stream()
                .filter(relay -> !relay.equals(self))
                .map(relay -> peers.getOrDefault(relay, PeerVote.UNHEARD))
                .toList();
    }

    private int majority() {
        return relays.size() / 2 + 1;
    }
}
