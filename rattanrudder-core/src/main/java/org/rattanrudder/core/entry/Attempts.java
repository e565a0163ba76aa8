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

/** Sends requests to targets, and decides what follows when an attempt doesn't bring an answer. */
final class Attempts implements LinkListener {
    /** The most attempts of one request. */
    static final int MOST_ATTEMPTS = 4;

    /** How long a broken link may take to tell what became of an attempt, in microseconds. */
    static final long RESUME_MICROS = 2_000_000;

    /**
     * How long a broken link holds up an attempt that may be made elsewhere, in microseconds: a companion that lives
     * has a fresh link by then, and a host that is gone would answer nothing for seconds.
     */
    static final long MOVE_MICROS = 300_000;

    /** How long to wait for chunks that were asked for again before asking once more, in microseconds. */
    static final long RESUME_AGAIN_MICROS = 500_000;

    private static final int MOST_ABANDONED = 1_000;

    /** Refusals after which another target may do better. */
    private static final Set<ErrorKind> ELSEWHERE = EnumSet.of(
            ErrorKind.OVERLOADED,
            ErrorKind.DEADLINE_UNREACHABLE,
            ErrorKind.NO_TARGET,
            ErrorKind.DRAINING,
            ErrorKind.VERSION_CHANGED,
            ErrorKind.STALE_INCARNATION,
            ErrorKind.TARGET_UNREACHABLE);

    /** Refusals that say that the target takes no work at all for now. */
    private static final Set<ErrorKind> CLOSED = EnumSet.of(ErrorKind.DRAINING, ErrorKind.STALE_INCARNATION);

    private final Requests requests;
    private final Endings endings;
    private final RoutingPolicy policy;
    private final Outbox outbox;
    private final PromptQuarantine quarantine;
    private final Map<Address, List<AttemptId>> abandoned = new HashMap<>();
    private Membership membership;

    Attempts(Requests requests, Endings endings, RoutingPolicy policy, Outbox outbox, PromptQuarantine quarantine) {
        this.requests = requests;
        this.endings = endings;
        this.policy = policy;
        this.outbox = outbox;
        this.quarantine = quarantine;
    }

    /** Gives it the links; the two hear of each other, so one must come first. */
    void use(Membership links) {
        membership = links;
    }

    /** Sends the first attempt of an admitted request. */
    void begin(InFlight inFlight, long nowMicros) {
        requests.add(inFlight);
        Refusal nowhere = new Refusal(ErrorKind.NO_TARGET, 0, "no target of the service accepts work");
        dispatch(inFlight, nowhere, nowMicros);
    }

    /**
     * Sends an attempt to the best target.
     *
     * @param otherwise the refusal if there is none
     */
    private void dispatch(InFlight inFlight, Refusal otherwise, long nowMicros) {
        Optional<Route> found = policy.choose(
                        inFlight.query(), inFlight.service().pool(), nowMicros)
                .filter(route -> membership
                        .link(route.target().companion())
                        .filter(CompanionLink::isOpen)
                        .isPresent());
        if (found.isEmpty()) {
            endings.refuse(inFlight, otherwise, nowMicros);
            return;
        }
        Route route = found.get();
        long leftMicros = inFlight.deadlineMicros() - nowMicros;
        if (leftMicros <= 0 || isHopeless(inFlight, route, leftMicros)) {
            long after = Math.max(0, route.estimateMicros() - leftMicros) / 1_000;
            String detail = "the first byte can't be there before its deadline";
            endings.refuse(inFlight, new Refusal(ErrorKind.DEADLINE_UNREACHABLE, after, detail), nowMicros);
            return;
        }
        send(inFlight, route, leftMicros, nowMicros);
    }

    /**
     * The wait that companions report is that of middle priority. Requests that go first wait less, so only their
     * companion can tell.
     */
    private static boolean isHopeless(InFlight inFlight, Route route, long leftMicros) {
        boolean goesFirst = inFlight.document().classes().stream()
                .allMatch(other -> inFlight.requestClass().priority() <= other.priority());
        return !goesFirst && route.estimateMicros() > leftMicros;
    }

    private void send(InFlight inFlight, Route route, long leftMicros, long nowMicros) {
        CompanionLink link = membership.link(route.target().companion()).orElseThrow();
        inFlight.attempts++;
        if (inFlight.attempts == 1) {
            inFlight.service()
                    .retries()
                    .firstAttempt(inFlight.document().limits().retryShare());
        }
        inFlight.attempt = new AttemptId(endings.entryIncarnation(), inFlight.sequence, inFlight.attempts);
        inFlight.route = route;
        inFlight.companionIncarnation = link.incarnation();
        inFlight.accepted = false;
        inFlight.brokenMicros = -1;
        inFlight.progressMicros = nowMicros;
        inFlight.sentMicros = nowMicros;
        inFlight.tried.add(route.target().name());
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
                        leftMicros,
                        inFlight.service().versionAt(route.target()),
                        inFlight.request.idempotencyKey(),
                        inFlight.terms.idempotent(),
                        inFlight.request.call(),
                        inFlight.request.prompt()));
        watch(inFlight, nowMicros);
    }

    /** The companion said that the attempt hasn't run and never will: true, so any request may go elsewhere. */
    void notRun(InFlight inFlight, Frame.NotRun frame, long nowMicros) {
        ErrorKind kind = frame.refusal().kind();
        leave(inFlight);
        inFlight.route.target().onRejected(frame.waitMicros(), nowMicros);
        if (CLOSED.contains(kind)) {
            inFlight.route.target().markUnavailable();
        }
        if (inFlight.begun || !ELSEWHERE.contains(kind) || inFlight.attempts >= MOST_ATTEMPTS) {
            endings.refuse(inFlight, frame.refusal(), nowMicros);
            return;
        }
        // A target that leaves refuses what was on its way to it: at most once each, since it gets nothing more. These
        // are free, as a shutdown must cut off no request; all others count, or an overload would multiply itself.
        if (!CLOSED.contains(kind) && !inFlight.service().retries().tryRetry()) {
            endings.refuse(inFlight, frame.refusal(), nowMicros);
            return;
        }
        dispatch(inFlight, frame.refusal(), nowMicros);
    }

    /** The attempt may have run, and no whole answer comes. */
    void failed(InFlight inFlight, Refusal refusal, long nowMicros) {
        leave(inFlight);
        inFlight.mayHaveRun = true;
        boolean quarantined = quarantine.failed(inFlight, refusal.kind(), nowMicros);
        boolean repeatable = inFlight.terms.idempotent() && !inFlight.begun && !quarantined;
        boolean timeLeft = nowMicros < inFlight.deadlineMicros() && inFlight.attempts < MOST_ATTEMPTS;
        if (repeatable && timeLeft && inFlight.service().retries().tryRetry()) {
            dispatch(inFlight, refusal, nowMicros);
            return;
        }
        endings.refuse(inFlight, refusal, nowMicros);
    }

    /** The companion of the attempt is gone, and with it what it knew. */
    private void lost(InFlight inFlight, long nowMicros) {
        ErrorKind kind = inFlight.begun ? ErrorKind.TARGET_FAILED : ErrorKind.OUTCOME_UNKNOWN;
        failed(inFlight, new Refusal(kind, 0, "the target's companion was lost during the attempt"), nowMicros);
    }

    /** The caller is gone. */
    void cancel(InFlight inFlight, long nowMicros) {
        abandon(inFlight);
        leave(inFlight);
        endings.cancelled(inFlight, nowMicros);
    }

    private void leave(InFlight inFlight) {
        if (!inFlight.accepted) {
            inFlight.route.target().accepted(inFlight.route.contextMicros());
        }
        inFlight.route.target().ended();
    }

    /** Has the attempt stopped, now or when its companion is heard again. */
    private void abandon(InFlight inFlight) {
        Address companion = inFlight.companion();
        if (membership.link(companion).filter(CompanionLink::isOpen).isPresent()) {
            outbox.send(companion, new Frame.Cancel(inFlight.attempt));
            return;
        }
        List<AttemptId> left = abandoned.computeIfAbsent(companion, address -> new ArrayList<>());
        if (left.size() < MOST_ABANDONED) {
            left.add(inFlight.attempt);
        }
    }

    @Override
    public boolean uses(Address companion) {
        return !requests.at(companion).isEmpty();
    }

    @Override
    public void linkBroke(Address companion, long nowMicros) {
        for (InFlight inFlight : requests.at(companion)) {
            if (inFlight.brokenMicros < 0) {
                inFlight.brokenMicros = nowMicros;
                watch(inFlight, nowMicros);
            }
        }
    }

    /** What may be repeated moves on as soon as a fresh connection fails too; the rest waits for the truth. */
    @Override
    public void linkFailed(Address companion, long nowMicros) {
        for (InFlight inFlight : requests.at(companion)) {
            if (inFlight.terms.idempotent() && !inFlight.begun) {
                abandon(inFlight);
                lost(inFlight, nowMicros);
            }
        }
    }

    @Override
    public void linkOpened(CompanionLink link, long nowMicros) {
        List<AttemptId> left = abandoned.remove(link.address);
        for (InFlight inFlight : requests.at(link.address)) {
            if (inFlight.companionIncarnation != link.incarnation()) {
                lost(inFlight, nowMicros);
                continue;
            }
            inFlight.brokenMicros = -1;
            resume(inFlight, nowMicros);
        }
        if (left != null) {
            left.forEach(attempt -> outbox.send(link.address, new Frame.Cancel(attempt)));
        }
    }

    /** Asks for the chunks from the first missing one on; the companion's window begins anew there. */
    void resume(InFlight inFlight, long nowMicros) {
        inFlight.resumedMicros = nowMicros;
        inFlight.missing = false;
        inFlight.creditedFrom = inFlight.nextChunk;
        inFlight.unsentCredit = 0;
        outbox.send(
                inFlight.companion(),
                new Frame.Resume(inFlight.attempt, inFlight.companionIncarnation, inFlight.nextChunk));
        watch(inFlight, nowMicros);
    }

    /** Chunks are missing although they were asked for a moment ago: asks again if they still are after a while. */
    void resumeLater(InFlight inFlight) {
        inFlight.missing = true;
        requests.wake(inFlight, inFlight.resumedMicros + RESUME_AGAIN_MICROS);
    }

    /** Ends or moves the attempts whose time is over. */
    void tick(long nowMicros) {
        for (InFlight inFlight : requests.takeDue(nowMicros)) {
            if (nowMicros >= AttemptClock.lostAtMicros(inFlight)) {
                abandon(inFlight);
                lost(inFlight, nowMicros);
            } else if (nowMicros >= AttemptClock.silentAtMicros(inFlight)) {
                silent(inFlight, nowMicros);
            } else {
                look(inFlight, nowMicros);
            }
        }
    }

    private void silent(InFlight inFlight, long nowMicros) {
        abandon(inFlight);
        leave(inFlight);
        inFlight.mayHaveRun = true;
        String detail = inFlight.begun ? "the answer made no progress in time" : "no answer came in time";
        endings.refuse(inFlight, new Refusal(ErrorKind.TARGET_SILENT, 0, detail), nowMicros);
    }

    private void look(InFlight inFlight, long nowMicros) {
        if (inFlight.missing && inFlight.brokenMicros < 0) {
            resume(inFlight, nowMicros);
        }
        if (nowMicros >= AttemptClock.doubtfulAtMicros(inFlight)) {
            membership.suspect(inFlight.companion(), inFlight.sentMicros, nowMicros);
        }
        watch(inFlight, nowMicros);
    }

    private void watch(InFlight inFlight, long nowMicros) {
        requests.wake(inFlight, AttemptClock.nextLookMicros(inFlight, nowMicros));
    }

    /**
     * Returns the refusal with nothing claimed that an attempt which may have run would make untrue: only a NotRun
     * frame proves that nothing ran, and only of its own attempt.
     */
    static Refusal truthful(Refusal refusal, boolean mayHaveRun) {
        if (!mayHaveRun || refusal.kind().runState() == RunState.UNKNOWN) {
            return refusal;
        }
        return new Refusal(ErrorKind.OUTCOME_UNKNOWN, 0, "an attempt may have run: " + refusal.detail());
    }
}
