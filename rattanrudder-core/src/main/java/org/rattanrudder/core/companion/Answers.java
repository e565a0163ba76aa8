package org.rattanrudder.core.companion;

import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.ErrorKind;

/** Takes what targets say of the attempts that they were called for. */
final class Answers {
    private final Attempts attempts;
    private final KeyGate gate;
    private final Runs runs;

    Answers(Attempts attempts, KeyGate gate, Runs runs) {
        this.attempts = attempts;
        this.gate = gate;
        this.runs = runs;
    }

    void answered(CompanionEvent.TargetAnswerStarted event, Turn turn) {
        Attempt attempt = called(event.attempt());
        if (attempt == null) {
            return;
        }
        progress(attempt, turn);
        if (attempt.answer().hasHead()) {
            return;
        }
        if (!attempt.isPrompt()) {
            attempt.firstByte(turn.nowMicros());
        }
        gate.answered(attempt.id(), event.status(), event.headers());
        Frame.AnswerHead head = new Frame.AnswerHead(attempt.id(), event.status(), event.headers());
        runs.send(attempt, attempt.answer().begin(head), turn);
    }

    void chunk(CompanionEvent.TargetChunk event, Turn turn) {
        Attempt attempt = called(event.attempt());
        if (attempt == null) {
            return;
        }
        progress(attempt, turn);
        if (isOfAnotherVersion(attempt, event.weightVersion())) {
            turn.ask(new CompanionEffect.CancelCall(attempt.id()));
            String detail = "admitted for " + attempt.dispatch().weightVersion() + ", engine answers with "
                    + event.weightVersion();
            runs.fail(attempt, ErrorKind.TARGET_FAILED, detail, turn);
            return;
        }
        if (attempt.answer().next() == 0) {
            attempt.firstByte(turn.nowMicros());
        }
        gate.chunk(attempt.id(), event.bytes());
        if (attempt.isAbandoned()) {
            turn.ask(new CompanionEffect.ReadMore(attempt.id(), 1));
            return;
        }
        runs.send(attempt, attempt.answer().add(event.bytes()), turn);
    }

    void ended(CompanionEvent.TargetAnswerEnded event, Turn turn) {
        Attempt attempt = called(event.attempt());
        if (attempt != null) {
            progress(attempt, turn);
            runs.finish(attempt, event.usage(), turn);
        }
    }

    /**
     * Takes a call that broke off. Nothing is called twice: only an engine, which knows the attempt by its id, is asked
     * to go on with the same stream, and only once until it does.
     */
    void failed(CompanionEvent.TargetFailed event, Turn turn) {
        Attempt attempt = called(event.attempt());
        if (attempt == null) {
            return;
        }
        if (event.nothingSent() && !attempt.answer().hasHead() && !attempt.isResuming()) {
            runs.neverSent(attempt, event.detail(), turn);
        } else if (attempt.isPrompt() && !attempt.isResuming()) {
            attempt.resuming();
            long next = attempt.answer().next();
            turn.ask(new CompanionEffect.ResumePrompt(attempt.id(), attempt.address(), next));
        } else {
            runs.fail(attempt, ErrorKind.TARGET_FAILED, event.detail(), turn);
        }
    }

    private Attempt called(AttemptId id) {
        Attempt attempt = attempts.find(id);
        return attempt == null || attempt.stage() != Attempt.Stage.CALLED ? null : attempt;
    }

    private static void progress(Attempt attempt, Turn turn) {
        attempt.progress(turn.nowMicros());
        attempt.target().showLife();
    }

    /**
     * Returns whether a chunk was made by other weights than the attempt was admitted for. An engine that swapped
     * between the admission and the first token, or between two connections of one stream, would else give an answer
     * of the wrong version, or one that is half of each.
     */
    private static boolean isOfAnotherVersion(Attempt attempt, String weightVersion) {
        return attempt.isPrompt()
                && !weightVersion.isEmpty()
                && !weightVersion.equals(attempt.dispatch().weightVersion());
    }
}
