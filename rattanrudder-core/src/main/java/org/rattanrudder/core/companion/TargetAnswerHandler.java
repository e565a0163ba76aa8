package org.rattanrudder.core.companion;

import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.ErrorKind;

/** Handles the answers of targets to called attempts. */
final class TargetAnswerHandler {
    private final Attempts attempts;
    private final IdempotencyGate gate;
    private final AttemptRunner runner;

    TargetAnswerHandler(Attempts attempts, IdempotencyGate gate, AttemptRunner runner) {
        this.attempts = attempts;
        this.gate = gate;
        this.runner = runner;
    }

    void onStarted(CompanionEvent.TargetAnswerStarted event, EventContext context) {
        Attempt attempt = findCalled(event.attempt());
        if (attempt == null) {
            return;
        }
        recordProgress(attempt, context);
        if (attempt.answer().hasHead()) {
            return;
        }
        if (!attempt.isPrompt()) {
            attempt.recordFirstByte(context.nowMicros());
        }
        gate.onAnswerStarted(attempt.id(), event.status(), event.headers());
        Frame.AnswerHead head = new Frame.AnswerHead(attempt.id(), event.status(), event.headers());
        runner.send(attempt, attempt.answer().begin(head), context);
    }

    void onChunk(CompanionEvent.TargetChunk event, EventContext context) {
        Attempt attempt = findCalled(event.attempt());
        if (attempt == null) {
            return;
        }
        recordProgress(attempt, context);
        if (hasOtherVersion(attempt, event.weightVersion())) {
            context.emit(new CompanionEffect.CancelCall(attempt.id()));
            String detail = "admitted for " + attempt.dispatch().weightVersion() + ", engine answers with "
                    + event.weightVersion();
            runner.fail(attempt, ErrorKind.TARGET_FAILED, detail, context);
            return;
        }
        if (attempt.answer().nextChunk() == 0) {
            attempt.recordFirstByte(context.nowMicros());
        }
        gate.onChunk(attempt.id(), event.bytes());
        if (attempt.isAbandoned()) {
            context.emit(new CompanionEffect.ReadMore(attempt.id(), 1));
            return;
        }
        runner.send(attempt, attempt.answer().add(event.bytes()), context);
    }

    void onEnded(CompanionEvent.TargetAnswerEnded event, EventContext context) {
        Attempt attempt = findCalled(event.attempt());
        if (attempt != null) {
            recordProgress(attempt, context);
            runner.finish(attempt, event.usage(), context);
        }
    }

    /**
     * Handles a call whose connection failed. No call is repeated. Only an engine, which identifies the attempt by its
     * id, is asked to resume the same stream, and only once until it makes progress.
     */
    void onFailed(CompanionEvent.TargetFailed event, EventContext context) {
        Attempt attempt = findCalled(event.attempt());
        if (attempt == null) {
            return;
        }
        if (event.nothingSent() && !attempt.answer().hasHead() && !attempt.isResuming()) {
            runner.failUnsent(attempt, event.detail(), context);
        } else if (attempt.isPrompt() && !attempt.isResuming()) {
            attempt.resuming();
            long next = attempt.answer().nextChunk();
            context.emit(new CompanionEffect.ResumePrompt(attempt.id(), attempt.address(), next));
        } else {
            runner.fail(attempt, ErrorKind.TARGET_FAILED, event.detail(), context);
        }
    }

    private Attempt findCalled(AttemptId id) {
        Attempt attempt = attempts.find(id);
        return attempt == null || attempt.stage() != Attempt.Stage.CALLED ? null : attempt;
    }

    private static void recordProgress(Attempt attempt, EventContext context) {
        attempt.recordProgress(context.nowMicros());
        attempt.target().onActivity();
    }

    /**
     * Returns whether a chunk comes from another weight version than the attempt was admitted for. An engine may swap
     * weights between admission and the first token, or between two connections of one stream. Without this check the
     * answer would come from the wrong version, or in part from each.
     */
    private static boolean hasOtherVersion(Attempt attempt, String weightVersion) {
        return attempt.isPrompt()
                && !weightVersion.isEmpty()
                && !weightVersion.equals(attempt.dispatch().weightVersion());
    }
}
