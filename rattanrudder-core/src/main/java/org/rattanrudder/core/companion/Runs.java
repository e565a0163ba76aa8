package org.rattanrudder.core.companion;

import java.util.Optional;
import java.util.function.LongFunction;
import org.rattanrudder.core.admission.Admission;
import org.rattanrudder.core.admission.AdmissionRequest;
import org.rattanrudder.core.admission.RetryAfterPolicy;
import org.rattanrudder.core.call.Usage;
import org.rattanrudder.core.claims.RecordedAnswer;
import org.rattanrudder.core.document.CustomerSettings;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.Refusal;
import org.rattanrudder.core.model.RunState;

/** Takes an accepted attempt through its stages: key claimed, queued, context fetched, called, ended. */
final class Runs {
    private final Attempts attempts;
    private final Tombstones tombstones;
    private final KeyGate gate;
    private final ContextMover mover;
    private final RetryAfterPolicy retryAfterPolicy;

    Runs(Attempts attempts, Tombstones tombstones, KeyGate gate, ContextMover mover, RetryAfterPolicy retryTimes) {
        this.attempts = attempts;
        this.tombstones = tombstones;
        this.gate = gate;
        this.mover = mover;
        this.retryAfterPolicy = retryTimes;
    }

    /** Begins with an attempt that nothing speaks against. */
    void accept(Attempt attempt, Turn turn) {
        attempts.add(attempt);
        // A claim is made in the log, for good: none is spent on an attempt that would be refused afterwards.
        if (attempt.dispatch().idempotencyKey().isPresent()
                && attempt.target().admission().wouldMissDeadline(admissionRequest(attempt), turn.nowMicros())) {
            refuse(attempt, ErrorKind.DEADLINE_UNREACHABLE, "", turn);
            return;
        }
        send(attempt, new Frame.Accepted(attempt.id()), turn);
        gate.claim(attempt.dispatch(), turn, (verdict, then) -> decide(attempt, verdict, then));
    }

    /** Fills the free places of a target from its queue. */
    void fill(HeldTarget target, Turn turn) {
        if (target.isSuspect(turn.nowMicros())) {
            return;
        }
        Admission<AttemptId> admission = target.admission();
        for (Optional<AttemptId> next = admission.startNext(turn.nowMicros());
                next.isPresent();
                next = admission.startNext(turn.nowMicros())) {
            Attempt attempt = attempts.find(next.get());
            attempt.fetch(turn.nowMicros());
            if (attempt.isPrompt()) {
                mover.fetch(prompt(attempt), turn, (fetched, then) -> call(attempt, fetched, then));
            } else {
                call(attempt, ContextMover.Fetched.NOTHING, turn);
            }
        }
    }

    /**
     * Calls the target without the context that hasn't come. A store or link that went silent in the middle of a fetch
     * would else hold the prompt and its place for good; computing the context anew is slower, but ends.
     */
    void callWithoutContext(Attempt attempt, Turn turn) {
        mover.dropped(attempt.id(), turn);
        call(attempt, ContextMover.Fetched.NOTHING, turn);
    }

    /** Refuses what waits at a target. */
    void refuseQueued(HeldTarget target, ErrorKind kind, Turn turn) {
        for (AttemptId waiting : target.admission().removeAllQueued()) {
            refuse(attempts.find(waiting), kind, "", turn);
        }
    }

    /** Gives an attempt that waits back to its entry, which sends it elsewhere; one that has its place goes on. */
    void handBack(Attempt attempt, Turn turn) {
        if (attempt.isBeforeCall() && !attempt.holdsPlace()) {
            refuse(attempt, ErrorKind.DRAINING, "", turn);
        }
    }

    /** Refuses what waits in vain: the caller hears it as soon as it is known, and not when its turn would come. */
    void review(HeldTarget target, Turn turn) {
        if (!target.isReachable(turn.nowMicros())) {
            refuseQueued(target, ErrorKind.TARGET_UNREACHABLE, turn);
            return;
        }
        for (AttemptId late : target.admission().removeLate(turn.nowMicros())) {
            refuse(attempts.find(late), ErrorKind.DEADLINE_UNREACHABLE, "", turn);
        }
        fill(target, turn);
    }

    /**
     * Ends an attempt that hasn't been called and never will be.
     *
     * <p>The tombstone is set before the answer goes out, so that no later copy can make the answer untrue.
     */
    void refuse(Attempt attempt, ErrorKind kind, String detail, Turn turn) {
        refuse(attempt, queueWait -> refusal(kind, queueWait, detail), turn);
    }

    private void refuse(Attempt attempt, LongFunction<Refusal> refusalByQueueWait, Turn turn) {
        if (!attempt.isBeforeCall()) {
            throw new IllegalStateException("attempt " + attempt.id() + " was called and can't be refused");
        }
        if (attempt.stage() != Attempt.Stage.CLAIMING) {
            mover.dropped(attempt.id(), turn);
        }
        neverRun(attempt, refusalByQueueWait, turn);
    }

    /** Ends an attempt that may have run, without a whole answer. */
    void fail(Attempt attempt, ErrorKind kind, String detail, Turn turn) {
        fail(attempt, new Refusal(kind, 0, detail), turn);
    }

    private void fail(Attempt attempt, Refusal refusal, Turn turn) {
        mover.dropped(attempt.id(), turn);
        end(attempt, new Frame.AnswerFailed(attempt.id(), refusal), turn);
        gate.ended(attempt.id(), KeyGate.Ending.UNKNOWN, turn);
    }

    /** Takes the whole answer. */
    void finish(Attempt attempt, Usage measured, Turn turn) {
        ContextMover.Fetched fetched = attempt.fetched();
        Usage usage = new Usage(
                measured.promptTokens(),
                measured.cachedTokens(),
                fetched.tokens(),
                fetched.bytes(),
                measured.completionTokens(),
                attempt.startedMicros() - attempt.acceptedMicros());
        attempt.target().admission().onFinished(attempt.id(), turn.nowMicros());
        if (attempt.isPrompt()) {
            int computed = measured.promptTokens() - measured.cachedTokens();
            attempt.target().prefillSpeed().measured(computed, attempt.firstByteMicros() - attempt.startedMicros());
            mover.ended(prompt(attempt), usage, turn);
        }
        end(attempt, new Frame.AnswerEnd(attempt.id(), attempt.answer().next(), usage), turn);
        gate.ended(attempt.id(), KeyGate.Ending.ANSWERED, turn);
    }

    /** Ends an attempt whose call broke before a byte of it can have reached the target. */
    void neverSent(Attempt attempt, String detail, Turn turn) {
        mover.dropped(attempt.id(), turn);
        neverRun(attempt, queueWait -> refusal(ErrorKind.TARGET_UNREACHABLE, queueWait, detail), turn);
    }

    /** Forgets an ended attempt but for its tombstone. */
    void forget(Attempt attempt) {
        tombstones.add(attempt.id(), ErrorKind.OUTCOME_UNKNOWN);
        attempts.remove(attempt);
    }

    /** Sends a frame of an attempt, if a link carries it and its entry still wants it. */
    void send(Attempt attempt, Frame frame, Turn turn) {
        if (!attempt.isDetached() && !attempt.isAbandoned()) {
            turn.ask(new CompanionEffect.SendFrame(attempt.link(), frame));
        }
    }

    /** Returns the refusal of this kind, with a time to come back where that helps. */
    Refusal refusal(ErrorKind kind, long waitMicros, String detail) {
        long retryAfter =
                kind.retryAdvice() == ErrorKind.RetryAdvice.LATER ? retryAfterPolicy.retryAfterMillis(waitMicros) : 0;
        return new Refusal(kind, retryAfter, detail);
    }

    private void decide(Attempt attempt, KeyGate.Verdict verdict, Turn turn) {
        if (attempts.find(attempt.id()) != attempt || attempt.stage() != Attempt.Stage.CLAIMING) {
            return;
        }
        if (verdict instanceof KeyGate.Granted) {
            queue(attempt, turn);
        } else if (verdict instanceof KeyGate.Refused refused) {
            refuse(attempt, queueWait -> refused.refusal(), turn);
        } else if (verdict instanceof KeyGate.Unknown unknown) {
            fail(attempt, unknown.refusal(), turn);
        } else if (verdict instanceof KeyGate.Repeat repeat) {
            repeat(attempt, repeat.answer(), turn);
        }
    }

    private void queue(Attempt attempt, Turn turn) {
        HeldTarget target = attempt.target();
        Optional<ErrorKind> objection = target.objectionTo(attempt.dispatch(), turn.nowMicros());
        if (objection.isPresent()) {
            refuse(attempt, objection.get(), "", turn);
            return;
        }
        attempt.enter(Attempt.Stage.QUEUED);
        Admission.Decision<AttemptId> decision = target.admission().offer(admissionRequest(attempt), turn.nowMicros());
        if (decision instanceof Admission.Refused<AttemptId> refused) {
            ErrorKind kind = kindOf(refused.reason());
            refuse(attempt, queueWait -> refusal(kind, Math.max(queueWait, refused.waitMicros()), ""), turn);
            return;
        }
        if (attempt.isPrompt()) {
            mover.queued(prompt(attempt), turn);
        }
        ((Admission.Queued<AttemptId>) decision)
                .evicted()
                .ifPresent(evicted -> refuse(attempts.find(evicted), ErrorKind.OVERLOADED, "", turn));
        fill(target, turn);
    }

    private void call(Attempt attempt, ContextMover.Fetched fetched, Turn turn) {
        if (attempt.stage() != Attempt.Stage.FETCHING || attempts.find(attempt.id()) != attempt) {
            return;
        }
        Frame.Dispatch dispatch = attempt.dispatch();
        if (attempt.isPrompt() && !attempt.target().weightVersion().equals(dispatch.weightVersion())) {
            refuse(attempt, ErrorKind.VERSION_CHANGED, "", turn);
            return;
        }
        attempt.fetched(fetched);
        attempt.start(turn.nowMicros());
        turn.ask(
                attempt.isPrompt()
                        ? new CompanionEffect.StartPrompt(
                                attempt.id(),
                                attempt.address(),
                                dispatch.call(),
                                salt(dispatch),
                                dispatch.priority(),
                                attempt.target().document().cache().pieceTokens())
                        : new CompanionEffect.StartCall(attempt.id(), attempt.address(), dispatch.call()));
        attempt.forgetCall();
    }

    private void repeat(Attempt attempt, RecordedAnswer recorded, Turn turn) {
        AnswerStream answer = attempt.answer();
        send(attempt, answer.begin(new Frame.AnswerHead(attempt.id(), recorded.status(), recorded.headers())), turn);
        if (recorded.body().length > 0) {
            send(attempt, answer.add(recorded.body()), turn);
        }
        end(attempt, new Frame.AnswerEnd(attempt.id(), answer.next(), Usage.NONE), turn);
        gate.ended(attempt.id(), KeyGate.Ending.ANSWERED, turn);
    }

    /** Ends an attempt that never ran; the refusal may depend on the queue's wait in microseconds without it. */
    private void neverRun(Attempt attempt, LongFunction<Refusal> refusalByQueueWait, Turn turn) {
        Admission<AttemptId> admission = attempt.target().admission();
        admission.cancel(attempt.id());
        attempt.enter(Attempt.Stage.ENDED);
        attempts.remove(attempt);
        long wait = admission.expectedWaitMicros(attempt.dispatch().priority(), turn.nowMicros());
        Refusal refusal = refusalByQueueWait.apply(wait);
        ErrorKind kind = refusal.kind();
        tombstones.add(attempt.id(), kind.runState() == RunState.NOT_RUN ? kind : ErrorKind.STALE_INCARNATION);
        send(attempt, new Frame.NotRun(attempt.id(), refusal, wait), turn);
        gate.ended(attempt.id(), KeyGate.Ending.NOT_RUN, turn);
        fill(attempt.target(), turn);
    }

    private void end(Attempt attempt, Frame last, Turn turn) {
        attempt.end(turn.nowMicros());
        send(attempt, attempt.answer().end(last), turn);
        if (attempt.isAbandoned()) {
            forget(attempt);
        }
        attempt.target().admission().cancel(attempt.id());
        fill(attempt.target(), turn);
    }

    private static AdmissionRequest<AttemptId> admissionRequest(Attempt attempt) {
        Frame.Dispatch dispatch = attempt.dispatch();
        int share = attempt.target()
                .document()
                .customer(dispatch.customer())
                .map(CustomerSettings::share)
                .orElse(1);
        return new AdmissionRequest<>(
                attempt.id(),
                dispatch.customer(),
                share,
                dispatch.requestClass(),
                dispatch.priority(),
                attempt.acceptedMicros() + dispatch.deadlineMicros());
    }

    private static ErrorKind kindOf(Admission.Reason reason) {
        return reason == Admission.Reason.FULL ? ErrorKind.OVERLOADED : ErrorKind.DEADLINE_UNREACHABLE;
    }

    private static Digest salt(Frame.Dispatch dispatch) {
        return Digest.of(dispatch.customer().value(), dispatch.service().value(), dispatch.weightVersion());
    }

    private static ContextMover.PromptRun prompt(Attempt attempt) {
        return new ContextMover.PromptRun(
                attempt.dispatch(),
                salt(attempt.dispatch()),
                attempt.target().document(),
                attempt.target().settings());
    }
}
