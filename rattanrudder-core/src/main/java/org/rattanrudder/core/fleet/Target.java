package org.rattanrudder.core.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.rattanrudder.core.fleet.LoadReport.ServedWeights;
import org.rattanrudder.core.fleet.LoadReport.TargetLoad;
import org.rattanrudder.core.routing.Hashing;

/**
 * One target as this gateway sees it: its entry, the work that was sent to it, and how its last answers went.
 *
 * <p>All times are milliseconds of one steady clock.
 */
public final class Target {
    /**
     * How fast old experience fades, in ms: after this time half of a bad impression is gone, so that a target that has
     * recovered is tried again within seconds without a probe.
     */
    static final double HALF_LIFE_MILLIS = 2_500;

    /** The weight of the newest sample of time to the first byte. */
    private static final double SAMPLE_WEIGHT = 0.25;

    /** The weight of the newest success or failure. */
    private static final double OUTCOME_WEIGHT = 0.3;

    /** A load that a target told of itself counts for this long; then only what we sent ourselves is believed. */
    private static final long LOAD_VALID_MILLIS = 1_500;

    /** What a waiting request of another relay counts, in tokens: a mean prompt of which a part is cached. */
    private static final long OTHERS_WAITING_TOKENS = 3_000;

    /** What a running request of another relay takes of an engine's memory, in tokens, about. */
    private static final long OTHERS_RUNNING_TOKENS = 4_000;

    private static final long FIRST_PAUSE_MILLIS = 250;
    private static final long LONGEST_PAUSE_MILLIS = 2_000;

    private final Map<String, Long> confirmedWeights = new HashMap<>();
    private final PeerLoads peers;
    private final TargetSharing sharing;
    private final Reach reach = new Reach();
    private final long idHash;
    private TargetRegistration registration;
    private int inFlight;
    private long inFlightTokens;
    private long waitingTokens;
    private int othersRunning;
    private int othersWaiting;
    private long loadAt = Long.MIN_VALUE / 2;
    private double firstByteExcess;
    private double failureRatio;
    private long experienceAt;
    private int refusedInARow;
    private long pausedUntil = Long.MIN_VALUE / 2;
    private long lastActivityAt;
    private long swappingUntil = Long.MIN_VALUE / 2;
    private long confirmedAt = Long.MIN_VALUE / 2;

    private long sharingVersion = -1;
    private boolean shared;
    private Set<String> sharingRelays = Set.of();

    /** Makes a target that other relays may have work at. */
    Target(TargetRegistration entry, PeerLoads peers, TargetSharing sharing) {
        this.registration = entry;
        this.peers = peers;
        this.sharing = sharing;
        idHash = Hashing.of(entry.id());
    }

    /** Returns what it last said of itself. */
    public TargetRegistration registration() {
        return registration;
    }

    /** Returns its incarnation. */
    public String id() {
        return registration.id();
    }

    /** Returns a hash of its incarnation. */
    long idHash() {
        return idHash;
    }

    /** Returns the other relays that share it: they are told at once of what is placed there. */
    public Set<String> sharingRelays() {
        share();
        return sharingRelays;
    }

    /** Returns whether this relay shares it, and so hears at once of what others place there. */
    public boolean isShared() {
        share();
        return shared;
    }

    private void share() {
        if (sharingVersion != sharing.version()) {
            sharingVersion = sharing.version();
            shared = sharing.isOwn(idHash, registration.failureDomain());
            sharingRelays = sharing.others(idHash, registration.failureDomain());
        }
    }

    /** Takes its newest entry; weights that are new there end the time in which it takes no work. */
    void update(TargetRegistration newest) {
        boolean loaded =
                newest.weights().entrySet().stream().anyMatch(served -> served.getValue() > weights(served.getKey()));
        if (loaded) {
            swappingUntil = Long.MIN_VALUE / 2;
        }
        registration = newest;
    }

    /** Returns the version of a model's weights that it serves as far as known; 0 if unknown. */
    public long weights(String model) {
        return Math.max(registration.weights().getOrDefault(model, 0L), confirmedWeights.getOrDefault(model, 0L));
    }

    /**
     * Notes a version of weights that the target was seen to serve. A version that is new ends the time in which it
     * takes no work; one that was known doesn't, since runs that the target still ends before it loads name it too.
     */
    public void confirmWeights(String model, long version, long nowMillis) {
        if (version <= weights(model)) {
            return;
        }
        swappingUntil = Long.MIN_VALUE / 2;
        confirmedWeights.put(model, version);
        confirmedAt = nowMillis;
    }

    /** Returns the weights that it was seen to serve since a time, beyond those of its entry at that time. */
    public List<ServedWeights> weightsConfirmedSince(long sinceMillis) {
        if (confirmedAt < sinceMillis) {
            return List.of();
        }
        return confirmedWeights.entrySet().stream()
                .map(served -> new ServedWeights(id(), served.getKey(), served.getValue()))
                .toList();
    }

    /** Notes that the target takes no new work before a time, since it loads weights. */
    public void markLoadingWeights(long untilMillis) {
        swappingUntil = untilMillis;
    }

    /** Returns whether it loads weights, as far as known. */
    public boolean isLoadingWeights(long nowMillis) {
        return nowMillis < swappingUntil;
    }

    /**
     * The work that a request is for its target.
     *
     * @param tokens the memory that it takes, in tokens
     * @param prefillTokens the part of its prompt that must be read, in tokens
     */
    public record RequestCost(int tokens, int prefillTokens) {}

    /** Notes that a request was sent, or that it will be once its connection is open. */
    public void onSent(RequestCost work, long nowMillis) {
        inFlight++;
        inFlightTokens += work.tokens();
        waitingTokens += work.prefillTokens();
        if (inFlight == 1) {
            lastActivityAt = nowMillis;
        }
    }

    /** Notes the first byte of an answer to a request. */
    public void onFirstByte(RequestCost work) {
        waitingTokens -= work.prefillTokens();
    }

    /** Notes that a request has ended, in whatever way. */
    public void onEnded(RequestCost work, boolean hadBegun) {
        inFlight--;
        inFlightTokens -= work.tokens();
        if (!hadBegun) {
            waitingTokens -= work.prefillTokens();
        }
    }

    /** Notes any byte from the target. */
    public void onBytesReceived(long nowMillis) {
        lastActivityAt = nowMillis;
    }

    /** Returns when the target was last heard of, or got work while it had none. */
    public long lastActivityAt() {
        return lastActivityAt;
    }

    /** Notes the load that the target told of itself. */
    public void updateReportedLoad(int running, int waiting, long nowMillis) {
        // Our own share is known exactly; what is left is the other gateways'.
        othersRunning = Math.max(0, running + waiting - inFlight);
        othersWaiting = Math.min(waiting, othersRunning);
        loadAt = nowMillis;
    }

    /** Notes a success, and by how much its first byte was later than expected of a healthy target, in ms. */
    public void recordSuccess(double excessMillis, long nowMillis) {
        fade(nowMillis);
        reach.answers();
        refusedInARow = 0;
        pausedUntil = Long.MIN_VALUE / 2;
        firstByteExcess += SAMPLE_WEIGHT * (Math.max(0, excessMillis) - firstByteExcess);
        failureRatio -= OUTCOME_WEIGHT * failureRatio;
    }

    /** Notes a failure after the request was sent, and how long was waited for it, in ms. */
    public void recordFailure(double waitedMillis, long nowMillis) {
        fade(nowMillis);
        firstByteExcess = Math.max(firstByteExcess, SAMPLE_WEIGHT * waitedMillis);
        failureRatio += OUTCOME_WEIGHT * (1 - failureRatio);
    }

    /** Notes that a connection to it is being opened. */
    public void onDialStarted(long nowMillis) {
        reach.dialling(nowMillis);
    }

    /** Notes that a connection was opened, or that it couldn't be. */
    public void onDialFinished(boolean opened, long nowMillis) {
        reach.dialled(opened, nowMillis);
    }

    /** Notes that a connection takes longer to open than a request waits for it. */
    public void onDialOverdue() {
        reach.overdue();
    }

    /** Returns whether no connection to it could be had; it then takes no requests until one was opened. */
    public boolean isUnreachable() {
        return reach.isLost();
    }

    /** Returns how long after a dial that failed the next one is due, in ms. */
    public long redialDelayMillis() {
        return reach.retryAfterMillis();
    }

    /** Returns whether it should be dialled again, since it couldn't be reached. */
    public boolean isRedialDue() {
        return reach.isDialDue();
    }

    /** Returns whether a dial would tell something new of it. */
    public boolean isProbeUseful(long nowMillis) {
        return reach.isWorthDialling(nowMillis);
    }

    /**
     * Notes that the target refused a request. The pause doubles with each refusal in a row: a target that loads
     * weights refuses for seconds, and a relay that doesn't know of it would spend its retries there.
     */
    public void onRejected(long nowMillis) {
        long pause = Math.min(LONGEST_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << Math.min(3, refusedInARow));
        refusedInARow++;
        pausedUntil = Math.max(pausedUntil, nowMillis + pause);
    }

    /** Returns whether it should be left alone for now if another one can be had. */
    public boolean isPaused(long nowMillis) {
        return nowMillis < pausedUntil || reach.inDoubt(nowMillis);
    }

    /** Returns the requests of this gateway that it works on, and those that wait for a connection to it. */
    public int inFlight() {
        return inFlight;
    }

    long inFlightTokens() {
        return inFlightTokens;
    }

    long waitingTokens() {
        return waitingTokens;
    }

    /** Returns the requests that it works on, of all relays, as far as known. */
    public int requests(long nowMillis) {
        return inFlight + othersLoad(nowMillis).requests();
    }

    /** Returns the work that this relay has there. */
    public TargetLoad ownLoad() {
        return new TargetLoad(id(), inFlight, inFlightTokens, waitingTokens);
    }

    /**
     * Returns the work that other relays have there: what they say themselves, or, if none of them is heard of, what
     * the target's last report leaves over.
     */
    TargetLoad othersLoad(long nowMillis) {
        if (!registration.weights().isEmpty() && peers.alive(nowMillis) > 0) {
            return peers.at(id(), nowMillis);
        }
        if (nowMillis - loadAt > LOAD_VALID_MILLIS) {
            return TargetLoad.none(id());
        }
        return new TargetLoad(
                id(), othersRunning, othersRunning * OTHERS_RUNNING_TOKENS, othersWaiting * OTHERS_WAITING_TOKENS);
    }

    double firstByteExcess(long nowMillis) {
        fade(nowMillis);
        return firstByteExcess;
    }

    /** Returns the share of failures among its recent answers, 0 to 1. */
    public double failureRatio(long nowMillis) {
        fade(nowMillis);
        return failureRatio;
    }

    private void fade(long nowMillis) {
        double kept = Math.pow(0.5, Math.max(0, nowMillis - experienceAt) / HALF_LIFE_MILLIS);
        firstByteExcess *= kept;
        failureRatio *= kept;
        experienceAt = nowMillis;
    }
}
