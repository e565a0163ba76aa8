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

/** Moves accepted attempts through their stages: key claimed, queued, context fetched, called, ended. */
final class AttemptRunner {
    private final Attempts attempts;
    private final Tombstones tombstones;
    private final IdempotencyGate gate;
    private final ContextMover mover;
    private final RetryAfterPolicy retryAfterPolicy;

    AttemptRunner(
            Attempts attempts,
            Tombstones tombstones,
            IdempotencyGate gate,
            ContextMover mover,
            RetryAfterPolicy retryAfterPolicy) {
        this.attempts = attempts;
        this.tombstones = tombstones;
        this.gate = gate;
        this.mover = mover;
        this.retryAfterPolicy = retryAfterPolicy;
    }

    /** Accepts an attempt that has passed all checks, and claims its key. */
    void accept(Attempt attempt, EventContext context) {
        attempts.add(attempt);
        // A claim is a durable record in the log, so none is made for an attempt that would be refused afterwards.
        if (attempt.dispatch().idempotencyKey().isPresent()
                && attempt.target().admission().wouldMissDeadline(admissionRequest(attempt), context.nowMicros())) {
            refuse(attempt, ErrorKind.DEADLINE_UNREACHABLE, "", context);
            return;
        }
        send(attempt, new Frame.Accepted(attempt.id()), context);
        gate.claim(attempt.dispatch(), context, (decision, later) -> onDecision(attempt, decision, later));
    }

    /** Fills the free slots of a target from its queue. */
    void fillSlots(AssignedTarget target, EventContext context) {
        if (target.isSuspect(context.nowMicros())) {
            return;
        }
        Admission<AttemptId> admission = target.admission();
        for (Optional<AttemptId> next = admission.startNext(context.nowMicros());
                next.isPresent();
                next = admission.startNext(context.nowMicros())) {
            Attempt attempt = attempts.find(next.get());
            if (attempt.mayBeLate(context.now())) {
                refuse(attempt, ErrorKind.DEADLINE_UNREACHABLE, "", context);
                continue;
            }
            attempt.startFetch(context.nowMicros());
            if (attempt.isPrompt()) {
                mover.fetch(prompt(attempt), context, (fetched, later) -> call(attempt, fetched, later));
            } else {
                call(attempt, ContextMover.Fetched.NOTHING, context);
            }
        }
    }

    /**
     * Calls the target without the missing context. Otherwise a store or link that becomes unresponsive during a fetch
     * would block the prompt and its slot forever; recomputing the context is slower, but ends.
     */
    void callWithoutContext(Attempt attempt, EventContext context) {
        mover.onDropped(attempt.id(), context);
        call(attempt, ContextMover.Fetched.NOTHING, context);
    }

    /** Refuses all queued attempts of a target. */
    void refuseQueued(AssignedTarget target, ErrorKind kind, EventContext context) {
        for (AttemptId waiting : target.admission().removeAllQueued()) {
            refuse(attempts.find(waiting), kind, "", context);
        }
    }

    /** Returns a waiting attempt to its entry, which sends it elsewhere. An attempt that holds a slot continues. */
    void returnToEntry(Attempt attempt, EventContext context) {
        if (attempt.isBeforeCall() && !attempt.holdsSlot()) {
            refuse(attempt, ErrorKind.DRAINING, "", context);
        }
    }

    /**
     * Refuses queued attempts that can't run in time, so that their callers get the refusal as early as possible, and
     * fills free slots.
     */
    void checkQueue(AssignedTarget target, EventContext context) {
        if (!target.isReachable(context.nowMicros())) {
            refuseQueued(target, ErrorKind.TARGET_UNREACHABLE, context);
            return;
        }
        for (AttemptId late : target.admission().removeLate(context.nowMicros())) {
            refuse(attempts.find(late), ErrorKind.DEADLINE_UNREACHABLE, "", context);
        }
        fillSlots(target, context);
    }

    /**
     * Ends an attempt that hasn't been called and never will be.
     *
     * <p>The tombstone is recorded before the refusal is sent, so that no later duplicate of the dispatch can run.
     */
    void refuse(Attempt attempt, ErrorKind kind, String detail, EventContext context) {
        refuse(attempt, queueWait -> refusal(kind, queueWait, detail), context);
    }

    private void refuse(Attempt attempt, LongFunction<Refusal> refusalByQueueWait, EventContext context) {
        if (!attempt.isBeforeCall()) {
            throw new IllegalStateException("attempt " + attempt.id() + " was called and can't be refused");
        }
        if (attempt.stage() != Attempt.Stage.CLAIMING) {
            mover.onDropped(attempt.id(), context);
        }
        endNotRun(attempt, refusalByQueueWait, context);
    }

    /** Ends an attempt that may have run, without a complete answer. */
    void fail(Attempt attempt, ErrorKind kind, String detail, EventContext context) {
        fail(attempt, new Refusal(kind, 0, detail), context);
    }

    private void fail(Attempt attempt, Refusal refusal, EventContext context) {
        mover.onDropped(attempt.id(), context);
        end(attempt, new Frame.AnswerFailed(attempt.id(), refusal), context);
        gate.onEnded(attempt.id(), IdempotencyGate.Outcome.UNKNOWN, context);
    }

    /** Ends an attempt whose answer is complete. */
    void finish(Attempt attempt, Usage measured, EventContext context) {
        ContextMover.Fetched fetched = attempt.fetched();
        Usage usage = new Usage(
                measured.promptTokens(),
                measured.cachedTokens(),
                fetched.tokens(),
                fetched.bytes(),
                measured.completionTokens(),
                attempt.startedMicros() - attempt.acceptedMicros());
        attempt.target().admission().onFinished(attempt.id(), context.nowMicros());
        if (attempt.isPrompt()) {
            int computed = measured.promptTokens() - measured.cachedTokens();
            attempt.target().prefillSpeed().record(computed, attempt.firstByteMicros() - attempt.startedMicros());
            mover.onEnded(prompt(attempt), usage, context);
        }
        end(attempt, new Frame.AnswerEnd(attempt.id(), attempt.answer().nextChunk(), usage), context);
        gate.onEnded(attempt.id(), IdempotencyGate.Outcome.ANSWERED, context);
    }

    /** Ends an attempt whose call failed before any byte of it can have reached the target. */
    void failUnsent(Attempt attempt, String detail, EventContext context) {
        mover.onDropped(attempt.id(), context);
        endNotRun(attempt, queueWait -> refusal(ErrorKind.TARGET_UNREACHABLE, queueWait, detail), context);
    }

    /** Discards an ended attempt, except for its tombstone. */
    void discard(Attempt attempt) {
        tombstones.add(attempt.id(), ErrorKind.OUTCOME_UNKNOWN);
        attempts.remove(attempt);
    }

    /** Sends a frame of an attempt, unless it is detached from its link or abandoned by its entry. */
    void send(Attempt attempt, Frame frame, EventContext context) {
        if (!attempt.isDetached() && !attempt.isAbandoned()) {
            context.emit(new CompanionEffect.SendFrame(attempt.link(), frame));
        }
    }

    /** Returns a refusal of this kind, with a retry time if a later retry makes sense. */
    Refusal refusal(ErrorKind kind, long waitMicros, String detail) {
        long retryAfter =
                kind.retryAdvice() == ErrorKind.RetryAdvice.LATER ? retryAfterPolicy.retryAfterMillis(waitMicros) : 0;
        return new Refusal(kind, retryAfter, detail);
    }

    private void onDecision(Attempt attempt, IdempotencyGate.Decision decision, EventContext context) {
        if (attempts.find(attempt.id()) != attempt || attempt.stage() != Attempt.Stage.CLAIMING) {
            return;
        }
        if (decision instanceof IdempotencyGate.Granted) {
            queue(attempt, context);
        } else if (decision instanceof IdempotencyGate.Refused refused) {
            refuse(attempt, queueWait -> refused.refusal(), context);
        } else if (decision instanceof IdempotencyGate.OutcomeUnknown unknown) {
            fail(attempt, unknown.refusal(), context);
        } else if (decision instanceof IdempotencyGate.Replay replay) {
            replay(attempt, replay.answer(), context);
        }
    }

    private void queue(Attempt attempt, EventContext context) {
        AssignedTarget target = attempt.target();
        Optional<ErrorKind> rejection = target.rejectionReason(attempt.dispatch(), context.nowMicros());
        if (rejection.isPresent()) {
            refuse(attempt, rejection.get(), "", context);
            return;
        }
        attempt.moveTo(Attempt.Stage.QUEUED);
        Admission.Decision<AttemptId> decision =
                target.admission().offer(admissionRequest(attempt), context.nowMicros());
        if (decision instanceof Admission.Refused<AttemptId> refused) {
            ErrorKind kind = errorKind(refused.reason());
            refuse(attempt, queueWait -> refusal(kind, Math.max(queueWait, refused.waitMicros()), ""), context);
            return;
        }
        if (attempt.isPrompt()) {
            mover.onQueued(prompt(attempt), context);
        }
        ((Admission.Queued<AttemptId>) decision)
                .evicted()
                .ifPresent(evicted -> refuse(attempts.find(evicted), ErrorKind.OVERLOADED, "", context));
        fillSlots(target, context);
    }

    private void call(Attempt attempt, ContextMover.Fetched fetched, EventContext context) {
        if (attempt.stage() != Attempt.Stage.FETCHING || attempts.find(attempt.id()) != attempt) {
            return;
        }
        Frame.Dispatch dispatch = attempt.dispatch();
        if (attempt.isPrompt() && !attempt.target().weightVersion().equals(dispatch.weightVersion())) {
            refuse(attempt, ErrorKind.VERSION_CHANGED, "", context);
            return;
        }
        attempt.fetched(fetched);
        attempt.startCall(context.nowMicros());
        context.emit(
                attempt.isPrompt()
                        ? new CompanionEffect.StartPrompt(
                                attempt.id(),
                                attempt.address(),
                                dispatch.call(),
                                cacheSalt(dispatch),
                                dispatch.priority(),
                                attempt.target().document().cache().pieceTokens())
                        : new CompanionEffect.StartCall(attempt.id(), attempt.address(), dispatch.call()));
        attempt.discardCallBody();
    }

    private void replay(Attempt attempt, RecordedAnswer recorded, EventContext context) {
        AnswerStream answer = attempt.answer();
        send(attempt, answer.begin(new Frame.AnswerHead(attempt.id(), recorded.status(), recorded.headers())), context);
        if (recorded.body().length > 0) {
            send(attempt, answer.add(recorded.body()), context);
        }
        end(attempt, new Frame.AnswerEnd(attempt.id(), answer.nextChunk(), Usage.NONE), context);
        gate.onEnded(attempt.id(), IdempotencyGate.Outcome.ANSWERED, context);
    }

    /**
     * Ends an attempt that never ran. The refusal may depend on the expected wait in the queue without it, in
     * microseconds.
     */
    private void endNotRun(Attempt attempt, LongFunction<Refusal> refusalByQueueWait, EventContext context) {
        Admission<AttemptId> admission = attempt.target().admission();
        admission.cancel(attempt.id());
        attempt.moveTo(Attempt.Stage.ENDED);
        attempts.remove(attempt);
        long wait = admission.expectedWaitMicros(attempt.dispatch().priority(), context.nowMicros());
        Refusal refusal = refusalByQueueWait.apply(wait);
        ErrorKind kind = refusal.kind();
        tombstones.add(attempt.id(), kind.runState() == RunState.NOT_RUN ? kind : ErrorKind.STALE_INCARNATION);
        send(attempt, new Frame.NotRun(attempt.id(), refusal, wait), context);
        gate.onEnded(attempt.id(), IdempotencyGate.Outcome.NOT_RUN, context);
        fillSlots(attempt.target(), context);
    }

    private void end(Attempt attempt, Frame last, EventContext context) {
        attempt.end(context.nowMicros());
        send(attempt, attempt.answer().end(last), context);
        if (attempt.isAbandoned()) {
            discard(attempt);
        }
        attempt.target().admission().cancel(attempt.id());
        fillSlots(attempt.target(), context);
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

    private static ErrorKind errorKind(Admission.Reason reason) {
        return reason == Admission.Reason.FULL ? ErrorKind.OVERLOADED : ErrorKind.DEADLINE_UNREACHABLE;
    }

    private static Digest cacheSalt(Frame.Dispatch dispatch) {
        return Digest.of(dispatch.customer().value(), dispatch.service().value(), dispatch.weightVersion());
    }

    private static ContextMover.PromptRun prompt(Attempt attempt) {
        return new ContextMover.PromptRun(
                attempt.dispatch(),
                cacheSalt(attempt.dispatch()),
                attempt.target().document(),
                attempt.target().settings());
    }
}
