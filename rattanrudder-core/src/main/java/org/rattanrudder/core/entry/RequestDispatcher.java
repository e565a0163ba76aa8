package org.rattanrudder.core.entry;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.Refusal;
import org.rattanrudder.core.model.RunState;
import org.rattanrudder.core.routing.Route;
import org.rattanrudder.core.routing.RoutingPolicy;

/** Dispatches requests to targets, and decides whether to retry when an attempt brings no answer. */
final class RequestDispatcher implements LinkListener {
    /** Maximum number of attempts of one request. */
    static final int MAX_ATTEMPTS = 4;

    /** Time in microseconds after the loss of a link within which its attempts must be resumed on a new link. */
    static final long RESUME_TIMEOUT_MICROS = 2_000_000;

    /**
     * Time in microseconds after the loss of a link until a repeatable attempt is moved to another target. A companion
     * that still runs has a new link by then, while connecting to a host that is down can take seconds to fail.
     */
    static final long FAILOVER_DELAY_MICROS = 300_000;

    /** Minimum time in microseconds between two requests for missing chunks. */
    static final long RESUME_RETRY_MICROS = 500_000;

    private static final int MAX_ABANDONED_ATTEMPTS = 1_000;

    /** Refusals after which another target may be able to run the request. */
    private static final Set<ErrorKind> RETRY_ON_OTHER_TARGET = EnumSet.of(
            ErrorKind.OVERLOADED,
            ErrorKind.DEADLINE_UNREACHABLE,
            ErrorKind.NO_TARGET,
            ErrorKind.DRAINING,
            ErrorKind.VERSION_CHANGED,
            ErrorKind.STALE_INCARNATION,
            ErrorKind.TARGET_UNREACHABLE);

    /** Refusals which mean that the target currently accepts no work at all. */
    private static final Set<ErrorKind> TARGET_UNAVAILABLE =
            EnumSet.of(ErrorKind.DRAINING, ErrorKind.STALE_INCARNATION);

    private final InFlightRequests requests;
    private final RequestCompleter completer;
    private final RoutingPolicy policy;
    private final Outbox outbox;
    private final PromptQuarantine quarantine;
    private final LongestTime longestTime;
    private final Map<Address, List<AttemptId>> abandoned = new HashMap<>();
    private Membership membership;

    RequestDispatcher(
            InFlightRequests requests,
            RequestCompleter completer,
            RoutingPolicy policy,
            Outbox outbox,
            PromptQuarantine quarantine,
            LongestTime longestTime) {
        this.requests = requests;
        this.completer = completer;
        this.policy = policy;
        this.outbox = outbox;
        this.quarantine = quarantine;
        this.longestTime = longestTime;
    }

    /** Sets the membership, which can't be a constructor parameter since it needs this object as its listener. */
    void setMembership(Membership membership) {
        this.membership = membership;
    }

    /** Dispatches the first attempt of an admitted request. */
    void start(InFlightRequest inFlight, long nowMicros) {
        requests.add(inFlight);
        Refusal noTarget = new Refusal(ErrorKind.NO_TARGET, 0, "no target of the service accepts work");
        dispatch(inFlight, noTarget, nowMicros);
    }

    /**
     * Dispatches an attempt to the best target.
     *
     * @param refusalIfNone the refusal if no target is eligible
     */
    private void dispatch(InFlightRequest inFlight, Refusal refusalIfNone, long nowMicros) {
        Optional<Route> found = policy.choose(
                        inFlight.query(), inFlight.service().pool(), nowMicros)
                .filter(route -> membership
                        .link(route.target().companion())
                        .filter(CompanionLink::isOpen)
                        .isPresent());
        if (found.isEmpty()) {
            completer.refuse(inFlight, refusalIfNone, nowMicros);
            return;
        }
        Route route = found.get();
        long remainingMicros = inFlight.certainlyLeftMicros(longestTime);
        if (remainingMicros <= 0 || cannotMeetDeadline(inFlight, route, remainingMicros)) {
            long after = Math.max(0, route.estimateMicros() - remainingMicros) / 1_000;
            String detail = "the first byte can't be there before its deadline";
            completer.refuse(inFlight, new Refusal(ErrorKind.DEADLINE_UNREACHABLE, after, detail), nowMicros);
            return;
        }
        send(inFlight, route, remainingMicros, nowMicros);
    }

    /**
     * Returns whether the estimated time to the first token exceeds the remaining time. Companions report the wait of a
     * medium priority; requests of the top priority wait less, so that only the companion can decide on them.
     */
    private static boolean cannotMeetDeadline(InFlightRequest inFlight, Route route, long remainingMicros) {
        boolean hasTopPriority = inFlight.document().classes().stream()
                .allMatch(other -> inFlight.requestClass().priority() <= other.priority());
        return !hasTopPriority && route.estimateMicros() > remainingMicros;
    }

    private void send(InFlightRequest inFlight, Route route, long remainingMicros, long nowMicros) {
        CompanionLink link = membership.link(route.target().companion()).orElseThrow();
        inFlight.attemptCount++;
        if (inFlight.attemptCount == 1) {
            inFlight.service()
                    .retries()
                    .recordFirstAttempt(inFlight.document().limits().retryShare());
        }
        inFlight.attempt = new AttemptId(completer.entryIncarnation(), inFlight.sequence, inFlight.attemptCount);
        inFlight.route = route;
        inFlight.companionIncarnation = link.incarnation();
        inFlight.accepted = false;
        inFlight.linkLostMicros = -1;
        inFlight.progressMicros = nowMicros;
        inFlight.sentMicros = nowMicros;
        inFlight.triedTargets.add(route.target().name());
        route.target().onDispatched(route.contextMicros());
        policy.onDispatched(inFlight.query(), route, inFlight.service().pool(), nowMicros);
        outbox.send(
                link.address,
                new Frame.Dispatch(
                        inFlight.attempt,
                        inFlight.companionIncarnation,
                        route.target().name(),
                        inFlight.document().service(),
                        inFlight.customer().name(),
                        inFlight.requestClass().name(),
                        inFlight.requestClass().priority(),
                        remainingMicros,
                        inFlight.service().versionFor(route.target()),
                        inFlight.request.idempotencyKey(),
                        inFlight.terms.idempotent(),
                        inFlight.request.call(),
                        inFlight.request.prompt()));
        scheduleCheck(inFlight, nowMicros);
    }

    /** Handles a companion's proof that the attempt didn't and won't run, so that any request may be retried. */
    void onNotRun(InFlightRequest inFlight, Frame.NotRun frame, long nowMicros) {
        ErrorKind kind = frame.refusal().kind();
        releaseTarget(inFlight);
        inFlight.route.target().onRejected(frame.waitMicros(), nowMicros);
        if (TARGET_UNAVAILABLE.contains(kind)) {
            inFlight.route.target().markUnavailable();
        }
        if (inFlight.answerStarted || !RETRY_ON_OTHER_TARGET.contains(kind) || inFlight.attemptCount >= MAX_ATTEMPTS) {
            completer.refuse(inFlight, frame.refusal(), nowMicros);
            return;
        }
        // A leaving target refuses the requests that were on their way to it, each at most once since it gets no more.
        // Their retries aren't charged to the budget, because a shutdown must not fail requests. All other retries are
        // charged; otherwise they would amplify an overload.
        if (!TARGET_UNAVAILABLE.contains(kind) && !inFlight.service().retries().tryRetry()) {
            completer.refuse(inFlight, frame.refusal(), nowMicros);
            return;
        }
        dispatch(inFlight, frame.refusal(), nowMicros);
    }

    /** Handles an attempt that may have run and won't bring a complete answer. */
    void onFailed(InFlightRequest inFlight, Refusal refusal, long nowMicros) {
        releaseTarget(inFlight);
        inFlight.mayHaveRun = true;
        boolean quarantined = quarantine.onFailed(inFlight, refusal.kind(), nowMicros);
        boolean mayRepeat = inFlight.terms.idempotent() && !inFlight.answerStarted && !quarantined;
        boolean isTimeLeft = inFlight.certainlyLeftMicros(longestTime) > 0;
        boolean mayAttemptAgain = isTimeLeft && inFlight.attemptCount < MAX_ATTEMPTS;
        if (mayRepeat && mayAttemptAgain && inFlight.service().retries().tryRetry()) {
            dispatch(inFlight, refusal, nowMicros);
            return;
        }
        completer.refuse(inFlight, refusal, nowMicros);
    }

    /** Handles the loss of the attempt's companion and of its record of the attempt. */
    private void onCompanionLost(InFlightRequest inFlight, long nowMicros) {
        ErrorKind kind = inFlight.answerStarted ? ErrorKind.TARGET_FAILED : ErrorKind.OUTCOME_UNKNOWN;
        onFailed(inFlight, new Refusal(kind, 0, "the target's companion was lost during the attempt"), nowMicros);
    }

    /**
     * Gives requests a last answer, since this process ends. Their attempts may run, so the outcome is unknown.
     *
     * @param alsoBegun whether answers that have begun are broken off, too
     */
    void endAll(boolean alsoBegun, long nowMicros) {
        for (InFlightRequest inFlight : requests.matching(each -> alsoBegun || !each.answerStarted)) {
            abandon(inFlight);
            releaseTarget(inFlight);
            inFlight.mayHaveRun = true;
            completer.refuse(inFlight, new Refusal(ErrorKind.DRAINING, 0, "this entry ends"), nowMicros);
        }
    }

    /** Cancels a request whose caller has disconnected. */
    void cancel(InFlightRequest inFlight, long nowMicros) {
        abandon(inFlight);
        releaseTarget(inFlight);
        completer.onCancelled(inFlight, nowMicros);
    }

    private void releaseTarget(InFlightRequest inFlight) {
        if (!inFlight.accepted) {
            inFlight.route.target().onAccepted(inFlight.route.contextMicros());
        }
        inFlight.route.target().onEnded();
    }

    /** Cancels the attempt at its companion, now or once a link to the companion is open again. */
    private void abandon(InFlightRequest inFlight) {
        Address companion = inFlight.companion();
        if (membership.link(companion).filter(CompanionLink::isOpen).isPresent()) {
            outbox.send(companion, new Frame.Cancel(inFlight.attempt));
            return;
        }
        List<AttemptId> pendingCancels = abandoned.computeIfAbsent(companion, address -> new ArrayList<>());
        if (pendingCancels.size() < MAX_ABANDONED_ATTEMPTS) {
            pendingCancels.add(inFlight.attempt);
        }
    }

    @Override
    public boolean needsLink(Address companion) {
        return !requests.withCompanion(companion).isEmpty();
    }

    @Override
    public void onLinkLost(Address companion, long nowMicros) {
        for (InFlightRequest inFlight : requests.withCompanion(companion)) {
            if (inFlight.linkLostMicros < 0) {
                inFlight.linkLostMicros = nowMicros;
                scheduleCheck(inFlight, nowMicros);
            }
        }
    }

    /** Moves repeatable attempts to other targets; the others wait for the companion to report their state. */
    @Override
    public void onLinkFailed(Address companion, long nowMicros) {
        for (InFlightRequest inFlight : requests.withCompanion(companion)) {
            if (inFlight.terms.idempotent() && !inFlight.answerStarted) {
                abandon(inFlight);
                onCompanionLost(inFlight, nowMicros);
            }
        }
    }

    @Override
    public void onLinkOpened(CompanionLink link, long nowMicros) {
        List<AttemptId> pendingCancels = abandoned.remove(link.address);
        for (InFlightRequest inFlight : requests.withCompanion(link.address)) {
            if (inFlight.companionIncarnation != link.incarnation()) {
                onCompanionLost(inFlight, nowMicros);
                continue;
            }
            inFlight.linkLostMicros = -1;
            resume(inFlight, nowMicros);
        }
        if (pendingCancels != null) {
            pendingCancels.forEach(attempt -> outbox.send(link.address, new Frame.Cancel(attempt)));
        }
    }

    /** Requests the chunks from the first missing one on; the companion's window is reset to that chunk. */
    void resume(InFlightRequest inFlight, long nowMicros) {
        inFlight.resumeSentMicros = nowMicros;
        inFlight.hasMissingChunks = false;
        inFlight.creditStartChunk = inFlight.nextChunk;
        inFlight.pendingCredit = 0;
        outbox.send(
                inFlight.companion(),
                new Frame.Resume(inFlight.attempt, inFlight.companionIncarnation, inFlight.nextChunk));
        scheduleCheck(inFlight, nowMicros);
    }

    /** Schedules another request for missing chunks, for when those requested a moment ago don't arrive. */
    void scheduleResume(InFlightRequest inFlight) {
        inFlight.hasMissingChunks = true;
        requests.scheduleCheck(inFlight, inFlight.resumeSentMicros + RESUME_RETRY_MICROS);
    }

    /** Checks the attempts that are due, and ends or moves those that have timed out. */
    void tick(long nowMicros) {
        for (InFlightRequest inFlight : requests.pollDue(nowMicros)) {
            if (nowMicros >= AttemptTimeouts.linkTimeoutAtMicros(inFlight)) {
                abandon(inFlight);
                onCompanionLost(inFlight, nowMicros);
            } else if (nowMicros >= AttemptTimeouts.progressTimeoutAtMicros(inFlight)) {
                timeOut(inFlight, nowMicros);
            } else {
                check(inFlight, nowMicros);
            }
        }
    }

    private void timeOut(InFlightRequest inFlight, long nowMicros) {
        abandon(inFlight);
        releaseTarget(inFlight);
        inFlight.mayHaveRun = true;
        String detail = inFlight.answerStarted ? "the answer made no progress in time" : "no answer came in time";
        completer.refuse(inFlight, new Refusal(ErrorKind.TARGET_SILENT, 0, detail), nowMicros);
    }

    private void check(InFlightRequest inFlight, long nowMicros) {
        if (inFlight.hasMissingChunks && inFlight.linkLostMicros < 0) {
            resume(inFlight, nowMicros);
        }
        if (nowMicros >= AttemptTimeouts.acceptTimeoutAtMicros(inFlight)) {
            membership.replaceIfUnresponsive(inFlight.companion(), inFlight.sentMicros, nowMicros);
        }
        scheduleCheck(inFlight, nowMicros);
    }

    private void scheduleCheck(InFlightRequest inFlight, long nowMicros) {
        requests.scheduleCheck(inFlight, AttemptTimeouts.nextCheckMicros(inFlight, nowMicros));
    }

    /**
     * Returns a refusal that doesn't claim that nothing ran if an attempt may have run. Only a NotRun frame proves that
     * an attempt didn't run, and it does so for its own attempt only.
     */
    static Refusal withProvableRunState(Refusal refusal, boolean mayHaveRun) {
        if (!mayHaveRun || refusal.kind().runState() == RunState.UNKNOWN) {
            return refusal;
        }
        return new Refusal(ErrorKind.OUTCOME_UNKNOWN, 0, "an attempt may have run: " + refusal.detail());
    }
}
