package org.rattanrudder.core.fleet;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.rattanrudder.core.continuation.StreamOrigin;
import org.rattanrudder.core.fleet.FirstEventSample.CapacityAtSend;
import org.rattanrudder.core.fleet.LoadReport.SeenRateLimit;
import org.rattanrudder.core.fleet.LoadReport.ServedWeights;
import org.rattanrudder.core.fleet.LoadReport.TargetLoad;
import org.rattanrudder.core.routing.Hashing;

/**
 * One target as seen by this relay: its registration, the requests that were sent to it, and recent outcomes.
 *
 * <p>All times are milliseconds of a monotonic clock.
 */
public final class Target {
    /** Half-life of recorded outcomes: a target that has recovered is tried again within seconds, without a probe. */
    static final double HALF_LIFE_MILLIS = 2_500;

    /** The weight of the newest sample of time to the first byte. */
    private static final double SAMPLE_WEIGHT = 0.25;

    /** The weight of the newest success or failure. */
    private static final double OUTCOME_WEIGHT = 0.3;

    private static final long INITIAL_PAUSE_MILLIS = 250;
    private static final long MAX_PAUSE_MILLIS = 2_000;

    private static final long NEVER = Long.MAX_VALUE;

    private final ServedVersions versions;
    private final PeerLoads peers;
    private final TargetSharing sharing;
    private final RecentSends recentSends = new RecentSends();
    private final WarmUp warmUp = new WarmUp();
    private final RateLimit rateLimit = new RateLimit();
    private final TargetNotices notices;
    private final Reachability reachability = new Reachability();
    private final long idHash;
    private final TargetCapacity capacity;
    private final ReportedLoad reportedLoad = new ReportedLoad();
    private TargetRegistration registration;
    private int inFlight;
    private long inFlightTokens;
    private long pendingPrefillTokens;
    private double firstByteExcess;
    private double failureRatio;
    private long decayedAt;
    private int consecutiveRejections;
    private long pausedUntil = Long.MIN_VALUE / 2;
    private long lastActivityAt;
    private long loadingWeightsUntil = Long.MIN_VALUE / 2;
    private long mayHaveEndedAt = NEVER;

    private long sharingVersion = -1;
    private boolean shared;
    private Set<String> sharingRelays = Set.of();

    /**
     * Creates a target that peers may have requests at, with the capacity of its service's targets.
     *
     * @param published what is known of the published versions of weights
     */
    Target(
            TargetRegistration registration,
            TargetNotices notices,
            PeerLoads peers,
            TargetSharing sharing,
            ServiceCapacity service,
            PublishedVersions published) {
        this.registration = registration;
        this.notices = notices;
        this.peers = peers;
        this.sharing = sharing;
        versions = new ServedVersions(registration, published);
        idHash = Hashing.of(registration.id());
        capacity = new TargetCapacity(service, registration.slots());
    }

    /** Returns the target's last registration. */
    public TargetRegistration registration() {
        return registration;
    }

    /** Returns the id of the target's incarnation. */
    public String id() {
        return registration.id();
    }

    /**
     * Returns the software that it runs, to which streams that it begins are bound; empty if it doesn't say, or if
     * another process may answer in its place: one that started again under its ID and isn't registered yet.
     */
    public Optional<StreamOrigin> software() {
        boolean keepsId = registration.startedAt() != TargetRegistration.START_UNKNOWN;
        return keepsId && mayHaveEndedAt != NEVER
                ? Optional.empty()
                : registration.softwareVersion().map(version -> new StreamOrigin(registration.service(), version));
    }

    /** Records a sign that its process may have ended: a connection that broke, or that couldn't be opened. */
    public void onMayHaveEnded(long nowMillis) {
        mayHaveEndedAt = nowMillis;
    }

    /** Handles that all targets that had started by a time are registered, so that a later start would be known. */
    void onRegisteredUntil(long startMillis) {
        if (mayHaveEndedAt <= startMillis) {
            mayHaveEndedAt = NEVER;
        }
    }

    /** Returns the requests that this relay has sent within the last second, or is about to send. */
    RecentSends recentSends() {
        return recentSends;
    }

    /** Returns how many requests peers are known to have sent to it within the last second. */
    int peerSends(long nowMillis) {
        return peers.sentWithinSecond(id(), nowMillis);
    }

    /** Returns what is known of its warm-up. */
    WarmUp warmUp() {
        return warmUp;
    }

    /** Records that a request will be sent to it once a connection is open. */
    public void reserveSend(long nowMillis) {
        recentSends.reserve();
        notices.rest().onReserved(nowMillis);
    }

    /** Records that a request for which a send was reserved won't be sent. */
    public void cancelSend() {
        recentSends.cancel();
        notices.rest().onCancelled();
    }

    /** Records that a request for which a send was reserved was sent. */
    public void onRequestSent(long nowMillis) {
        recentSends.onSent(nowMillis);
        rateLimit.onRequestSent();
        notices.rest().onSent(nowMillis);
    }

    /**
     * Records what a response says of the target itself.
     *
     * @param conclusive whether a response without a rate limit shows that there is none
     * @param sentAt when the request was sent
     */
    public void recordSelfReport(SelfReport report, boolean conclusive, long sentAt, long nowMillis) {
        report.load().ifPresent(load -> {
            updateReportedLoad(load.running(), load.queued(), nowMillis);
            capacity.onReported(load, nowMillis);
        });
        report.warmUpMillis().ifPresent(remaining -> warmUp.onReported(remaining, nowMillis));
        recordRateLimit(report.rateLimit(), conclusive, sentAt, nowMillis);
        if (report.rest() instanceof RestNotice.Asked asked) {
            notices.rest().onAsked(asked, nowMillis);
        }
        if (report.leaving()) {
            notices.onLeaving();
        }
    }

    /** Records that the target has accepted a request, whatever becomes of it. */
    public void onAccepted(long sentAt) {
        notices.rest().onAccepted(sentAt);
    }

    /** Returns whether the target has said that it leaves, in its record or in any response. */
    public boolean isLeaving() {
        return notices.isLeaving();
    }

    /** Returns whether the target wants nothing from this relay for now. */
    public boolean isResting(long nowMillis) {
        return notices.rest().lasts(nowMillis);
    }

    /** Returns how long the target still wants nothing from this relay, in ms. */
    public long restMillis(long nowMillis) {
        return notices.rest().remainingMillis(nowMillis);
    }

    /** Returns whether another request may be placed as far as a rest, or the return from one, is concerned. */
    boolean isAdmittedAfterRest(long nowMillis) {
        return notices.rest().admits(nowMillis);
    }

    /** Returns how many requests this relay has sent to the target in its last rest. */
    public int sentInRest() {
        return notices.rest().sent();
    }

    /**
     * Records what a response says of the target's rate limit.
     *
     * @param conclusive whether a response without a limit shows that there is none
     * @param sentAt when the request was sent
     */
    public void recordRateLimit(RateLimitNotice notice, boolean conclusive, long sentAt, long nowMillis) {
        rateLimit.onResponse(notice, conclusive, sentAt, nowMillis);
    }

    /**
     * Returns how many requests a second the target takes from all relays together; empty if it has named no limit.
     */
    public OptionalDouble rateLimit() {
        return rateLimit.requestsPerSecond();
    }

    /** Returns this relay's permits while the target has a rate limit. */
    TokenBucket rateLimitPermits() {
        return rateLimit.permits();
    }

    /** Applies what a peer has seen of the target's rate limit. */
    void applyRateLimit(SeenRateLimit seen, long nowMillis) {
        rateLimit.applyReport(seen, nowMillis);
    }

    /** Returns what to report to peers of the target's rate limit, if anything. */
    public Optional<SeenRateLimit> rateLimitToReport(long nowMillis) {
        return rateLimit.toReport(id(), nowMillis);
    }

    /** Returns a hash of the id. */
    long idHash() {
        return idHash;
    }

    /** Returns the peers that share this target; they get an incremental report for each request that is sent to it. */
    public Set<String> sharingRelays() {
        updateSharing();
        return sharingRelays;
    }

    /**
     * Returns whether this relay shares the target and so gets an incremental report when a peer sends it a request.
     */
    public boolean isShared() {
        updateSharing();
        return shared;
    }

    private void updateSharing() {
        if (sharingVersion != sharing.version()) {
            sharingVersion = sharing.version();
            shared = sharing.isShared(idHash, registration.failureDomain());
            sharingRelays = sharing.otherSharers(idHash, registration.failureDomain());
        }
    }

    /** Applies a newer registration. If it lists a newer version of weights, the target has finished loading. */
    void update(TargetRegistration newest) {
        if (versions.update(newest)) {
            loadingWeightsUntil = Long.MIN_VALUE / 2;
        }
        registration = newest;
    }

    /** Returns the version of a model's weights that the target serves; 0 if unknown. */
    public long weights(String model) {
        return versions.version(model);
    }

    /** Returns whether the target serves a model, in whichever version. */
    public boolean serves(String model) {
        return versions.serves(model);
    }

    /** Returns whether its record names the version that it is taken to serve, and not only what was seen since. */
    public boolean isWeightsRecorded(String model) {
        return versions.isRegistered(model);
    }

    /**
     * Records a version of weights that the target was seen to serve. A newer version means that the target has
     * finished loading. A known version doesn't: runs that the target finishes before it loads report that version too.
     */
    public void confirmWeights(String model, long version, long nowMillis) {
        if (versions.confirm(model, version, nowMillis)) {
            loadingWeightsUntil = Long.MIN_VALUE / 2;
        }
    }

    /** Returns the confirmed weights if any was confirmed since the given time. */
    public List<ServedWeights> weightsConfirmedSince(long sinceMillis) {
        return versions.confirmedSince(sinceMillis);
    }

    /** Records that the target accepts no requests until the given time, since it loads weights. */
    public void markLoadingWeights(long untilMillis) {
        loadingWeightsUntil = untilMillis;
    }

    /** Returns whether the target is known to be loading weights. */
    public boolean isLoadingWeights(long nowMillis) {
        return nowMillis < loadingWeightsUntil;
    }

    /**
     * The cost of a request at its target.
     *
     * @param tokens the memory that it needs, in tokens
     * @param prefillTokens the prompt tokens that need prefill
     */
    public record RequestCost(int tokens, int prefillTokens) {}

    /** Records that a request was sent, or will be once its connection is open. */
    public void onSent(RequestCost cost, long nowMillis) {
        inFlight++;
        inFlightTokens += cost.tokens();
        pendingPrefillTokens += cost.prefillTokens();
        if (inFlight == 1) {
            lastActivityAt = nowMillis;
        }
    }

    /** Records the first byte of a response. */
    public void onFirstByte(RequestCost cost) {
        pendingPrefillTokens -= cost.prefillTokens();
    }

    /** Records that a request has ended, with any outcome. */
    public void onEnded(RequestCost cost, boolean responseStarted) {
        inFlight--;
        inFlightTokens -= cost.tokens();
        if (!responseStarted) {
            pendingPrefillTokens -= cost.prefillTokens();
        }
    }

    /** Records that any bytes were received from the target. */
    public void onBytesReceived(long nowMillis) {
        lastActivityAt = nowMillis;
    }

    /** Returns when bytes were last received from the target, or when it got a request while it had none. */
    public long lastActivityAt() {
        return lastActivityAt;
    }

    /** Records the load that the target reported of itself. */
    public void updateReportedLoad(int running, int waiting, long nowMillis) {
        reportedLoad.onReported(running, waiting, inFlight, nowMillis);
    }

    /** Records a success, and by how many ms its first byte was later than expected of a healthy target. */
    public void recordSuccess(double excessMillis, long nowMillis) {
        decay(nowMillis);
        reachability.onReachable();
        consecutiveRejections = 0;
        pausedUntil = Long.MIN_VALUE / 2;
        firstByteExcess += SAMPLE_WEIGHT * (Math.max(0, excessMillis) - firstByteExcess);
        failureRatio -= OUTCOME_WEIGHT * failureRatio;
    }

    /** Records a failure after the request was sent, and how many ms the relay waited for the response. */
    public void recordFailure(double waitedMillis, long nowMillis) {
        decay(nowMillis);
        firstByteExcess = Math.max(firstByteExcess, SAMPLE_WEIGHT * waitedMillis);
        failureRatio += OUTCOME_WEIGHT * (1 - failureRatio);
    }

    /** Records that a dial has started. */
    public void onDialStarted(long nowMillis) {
        reachability.onDialStarted(nowMillis);
    }

    /** Records that a dial has succeeded or failed. */
    public void onDialFinished(boolean opened, long nowMillis) {
        if (opened && reachability.hasFailed()) {
            warmUp.onReachableAgain(nowMillis);
        }
        reachability.onDialFinished(opened, nowMillis);
        if (!opened) {
            onMayHaveEnded(nowMillis);
        }
    }

    /** Records that a dial has taken longer than a request waits for one. */
    public void onDialOverdue() {
        reachability.onDialOverdue();
    }

    /**
     * Returns whether the last dial has failed or is overdue; the target then gets no requests until a dial succeeds.
     */
    public boolean isUnreachable() {
        return reachability.isUnreachable();
    }

    /** Returns the delay between a failed dial and the next one. */
    public long redialDelayMillis() {
        return reachability.retryAfterMillis();
    }

    /** Returns whether to dial the target again because it was unreachable. */
    public boolean isRedialDue() {
        return reachability.isRedialDue();
    }

    /** Returns whether a probe dial would yield new information. */
    public boolean isProbeUseful(long nowMillis) {
        return reachability.isProbeUseful(nowMillis);
    }

    /**
     * Records that the target rejected a request. The pause doubles with each consecutive rejection: a target that
     * loads weights rejects requests for seconds, and a relay that doesn't know of the load would use up its retries
     * there.
     */
    public void onRejected(long nowMillis) {
        long pause = Math.min(MAX_PAUSE_MILLIS, INITIAL_PAUSE_MILLIS << Math.min(3, consecutiveRejections));
        consecutiveRejections++;
        pausedUntil = Math.max(pausedUntil, nowMillis + pause);
    }

    /** Returns whether to prefer other targets for now. */
    public boolean isPaused(long nowMillis) {
        return nowMillis < pausedUntil || reachability.isSuspect(nowMillis);
    }

    /** Returns the requests of this relay that the target is processing or that wait for a connection to it. */
    public int inFlight() {
        return inFlight;
    }

    long inFlightTokens() {
        return inFlightTokens;
    }

    long pendingPrefillTokens() {
        return pendingPrefillTokens;
    }

    /** Returns the number of requests at the target over all relays, as far as known. */
    public int requests(long nowMillis) {
        return inFlight + peerLoad(nowMillis).requests();
    }

    /** Returns the load of this relay at the target. */
    public TargetLoad ownLoad() {
        return new TargetLoad(id(), inFlight, inFlightTokens, pendingPrefillTokens);
    }

    /**
     * Returns the load of all peers at the target: as reported by them, or, if there are no fresh reports, what remains
     * of the target's own report without this relay's requests.
     */
    TargetLoad peerLoad(long nowMillis) {
        if (!registration.weights().isEmpty() && peers.liveCount(nowMillis) > 0) {
            return peers.totalAt(id(), nowMillis);
        }
        return reportedLoad.peerLoad(id(), nowMillis);
    }

    /** Returns the estimate of how fast the target is now. */
    public TargetCapacity capacity() {
        return capacity;
    }

    /** Returns what is known of the target before a request is sent to it, for the samples of its response. */
    public CapacityAtSend capacityAtSend(long nowMillis) {
        TargetLoad peerLoad = peerLoad(nowMillis);
        return new CapacityAtSend(
                pendingPrefillTokens + peerLoad.pendingPrefillTokens(),
                inFlight + peerLoad.requests(),
                capacity.pace(nowMillis));
    }

    double firstByteExcess(long nowMillis) {
        decay(nowMillis);
        return firstByteExcess;
    }

    /** Returns the ratio of failures among recent outcomes, from 0 to 1. */
    public double failureRatio(long nowMillis) {
        decay(nowMillis);
        return failureRatio;
    }

    private void decay(long nowMillis) {
        double kept = Math.pow(0.5, Math.max(0, nowMillis - decayedAt) / HALF_LIFE_MILLIS);
        firstByteExcess *= kept;
        failureRatio *= kept;
        decayedAt = nowMillis;
    }
}
