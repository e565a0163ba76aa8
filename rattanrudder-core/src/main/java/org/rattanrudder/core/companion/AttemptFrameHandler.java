package org.rattanrudder.core.companion;

import java.util.Optional;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.RunState;

/** Handles the frames of entries that concern one attempt: dispatch, cancel, resume and credit. */
final class AttemptFrameHandler {
    private final long incarnation;
    private final AssignedTargets targets;
    private final Attempts attempts;
    private final Tombstones tombstones;
    private final AttemptRunner runner;
    private final CustomerCounts customerCounts = new CustomerCounts();
    private boolean draining;

    AttemptFrameHandler(
            long incarnation, AssignedTargets targets, Attempts attempts, Tombstones tombstones, AttemptRunner runner) {
        this.incarnation = incarnation;
        this.targets = targets;
        this.attempts = attempts;
        this.tombstones = tombstones;
        this.runner = runner;
    }

    /** Rejects new attempts from now on. */
    void drain() {
        draining = true;
    }

    /** Returns how many attempts were accepted for each customer. */
    CustomerCounts customerCounts() {
        return customerCounts;
    }

    boolean isDraining() {
        return draining;
    }

    /** Returns whether a target accepts new attempts. */
    boolean acceptsAttempts(AssignedTarget target, long nowMicros) {
        return !draining && target.isOpen() && target.isReachable(nowMicros) && target.hasWeights();
    }

    /** Handles a frame that arrived on a link of the attempt's own entry. */
    void handle(long link, Frame.AttemptFrame frame, EventContext context) {
        if (frame instanceof Frame.Dispatch dispatch) {
            dispatch(link, dispatch, context);
        } else if (frame instanceof Frame.Cancel cancel) {
            cancel(link, cancel.attempt(), context);
        } else if (frame instanceof Frame.Resume resume) {
            resume(link, resume, context);
        } else if (frame instanceof Frame.Credit credit) {
            credit(link, credit, context);
        }
    }

    /**
     * Stops an attempt whose entry no longer needs the answer.
     *
     * <p>A call that isn't idempotent is left to finish. Cancelling it would undo nothing, and its outcome would be
     * missing when the caller repeats its key.
     */
    void stop(Attempt attempt, EventContext context) {
        if (attempt.isBeforeCall()) {
            runner.refuse(attempt, ErrorKind.CANCELLED, "", context);
        } else if (attempt.stage() == Attempt.Stage.ENDED) {
            runner.discard(attempt);
        } else if (attempt.dispatch().idempotent()) {
            context.emit(new CompanionEffect.CancelCall(attempt.id()));
            runner.fail(attempt, ErrorKind.CANCELLED, "", context);
        } else if (!attempt.isAbandoned()) {
            Frame.AnswerFailed cancelled =
                    new Frame.AnswerFailed(attempt.id(), runner.refusal(ErrorKind.CANCELLED, 0, "left to finish"));
            runner.send(attempt, cancelled, context);
            attempt.abandon();
            context.emit(new CompanionEffect.ReadMore(attempt.id(), CompanionEffect.INITIAL_WINDOW_CHUNKS));
        }
    }

    private void dispatch(long link, Frame.Dispatch dispatch, EventContext context) {
        AttemptId id = dispatch.attempt();
        if (dispatch.companionIncarnation() != incarnation) {
            sendNotRun(link, id, ErrorKind.STALE_INCARNATION, 0, context);
            return;
        }
        if (attempts.find(id) != null) {
            return;
        }
        Optional<ErrorKind> ended = tombstones.find(id);
        if (ended.isPresent()) {
            sendEnded(link, id, ended.get(), context);
            return;
        }
        AssignedTarget target = targets.find(dispatch.target());
        Optional<ErrorKind> rejection = rejectionReason(target, dispatch, context.nowMicros());
        if (rejection.isPresent()) {
            tombstones.add(id, rejection.get());
            sendNotRun(
                    link,
                    id,
                    rejection.get(),
                    target == null
                            ? 0
                            : target.admission().expectedWaitMicros(dispatch.priority(), context.nowMicros()),
                    context);
            return;
        }
        customerCounts.recordAccepted(dispatch, context.nowMicros());
        runner.accept(new Attempt(dispatch, target, link, context.now()), context);
    }

    private Optional<ErrorKind> rejectionReason(AssignedTarget target, Frame.Dispatch dispatch, long nowMicros) {
        if (target == null || !target.service().equals(dispatch.service())) {
            return Optional.of(ErrorKind.STALE_INCARNATION);
        }
        return draining ? Optional.of(ErrorKind.DRAINING) : target.rejectionReason(dispatch, nowMicros);
    }

    /**
     * Cancels an attempt for its entry. A cancel that overtook its dispatch, or whose dispatch was lost, leaves a
     * tombstone, since the dispatch may still arrive and must not run.
     */
    private void cancel(long link, AttemptId id, EventContext context) {
        Attempt attempt = attempts.find(id);
        if (attempt != null) {
            stop(attempt, context);
            return;
        }
        answerUndispatched(link, id, context);
    }

    private void resume(long link, Frame.Resume resume, EventContext context) {
        AttemptId id = resume.attempt();
        if (resume.companionIncarnation() != incarnation) {
            sendEnded(link, id, ErrorKind.OUTCOME_UNKNOWN, context);
            return;
        }
        Attempt attempt = attempts.find(id);
        if (attempt == null) {
            answerUndispatched(link, id, context);
            return;
        }
        attempt.attach(link);
        if (attempt.isBeforeCall()) {
            runner.send(attempt, new Frame.Accepted(id), context);
            return;
        }
        Optional<Integer> moreChunks = attempt.isAbandoned()
                ? Optional.empty()
                : attempt.answer().resume(resume.nextChunk(), frame -> runner.send(attempt, frame, context));
        if (moreChunks.isEmpty()) {
            sendEnded(link, id, ErrorKind.OUTCOME_UNKNOWN, context);
            return;
        }
        readMore(attempt, moreChunks.get(), context);
    }

    private void credit(long link, Frame.Credit credit, EventContext context) {
        Attempt attempt = attempts.find(credit.attempt());
        if (attempt != null && attempt.link() == link) {
            if (attempt.answer().isWindowExhausted()) {
                attempt.onWindowOpened(context.nowMicros());
            }
            attempt.answer().credit(credit.chunks());
            readMore(attempt, credit.chunks(), context);
        }
    }

    private void readMore(Attempt attempt, int chunks, EventContext context) {
        if (chunks > 0 && attempt.stage() == Attempt.Stage.CALLED) {
            context.emit(new CompanionEffect.ReadMore(attempt.id(), chunks));
        }
    }

    /**
     * Answers for an attempt that isn't known here: with its outcome, or that it was never dispatched and will never
     * run.
     */
    private void answerUndispatched(long link, AttemptId id, EventContext context) {
        ErrorKind kind = tombstones.find(id).orElse(ErrorKind.STALE_INCARNATION);
        tombstones.add(id, kind);
        sendEnded(link, id, kind, context);
    }

    private void sendEnded(long link, AttemptId id, ErrorKind kind, EventContext context) {
        if (kind.runState() == RunState.NOT_RUN) {
            sendNotRun(link, id, kind, 0, context);
            return;
        }
        context.emit(new CompanionEffect.SendFrame(link, new Frame.AnswerFailed(id, runner.refusal(kind, 0, ""))));
    }

    private void sendNotRun(long link, AttemptId id, ErrorKind kind, long waitMicros, EventContext context) {
        Frame frame = new Frame.NotRun(id, runner.refusal(kind, waitMicros, ""), waitMicros);
        context.emit(new CompanionEffect.SendFrame(link, frame));
    }
}
