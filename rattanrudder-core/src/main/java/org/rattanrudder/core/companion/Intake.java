package org.rattanrudder.core.companion;

import java.util.Optional;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.RunState;

/** Takes the frames of entries that speak of one attempt. */
final class Intake {
    private final long incarnation;
    private final Targets targets;
    private final Attempts attempts;
    private final Tombstones tombstones;
    private final Runs runs;
    private final CustomerCounts customers = new CustomerCounts();
    private boolean draining;

    Intake(long incarnation, Targets targets, Attempts attempts, Tombstones tombstones, Runs runs) {
        this.incarnation = incarnation;
        this.targets = targets;
        this.attempts = attempts;
        this.tombstones = tombstones;
        this.runs = runs;
    }

    /** Takes no new attempts from now on. */
    void drain() {
        draining = true;
    }

    /** Returns what was taken on behalf of each customer. */
    CustomerCounts customers() {
        return customers;
    }

    boolean isDraining() {
        return draining;
    }

    /** Returns whether a target takes new attempts. */
    boolean accepts(HeldTarget target, long nowMicros) {
        return !draining && target.isOpen() && target.isReachable(nowMicros) && target.hasVersion();
    }

    /** Takes a frame that came on a link of the attempt's own entry. */
    void take(long link, Frame.AttemptFrame frame, Turn turn) {
        if (frame instanceof Frame.Dispatch dispatch) {
            dispatch(link, dispatch, turn);
        } else if (frame instanceof Frame.Cancel cancel) {
            cancel(link, cancel.attempt(), turn);
        } else if (frame instanceof Frame.Resume resume) {
            resume(link, resume, turn);
        } else if (frame instanceof Frame.Credit credit) {
            credit(link, credit, turn);
        }
    }

    /**
     * Stops an attempt whose entry wants no answer any more.
     *
     * <p>A call that may not be repeated is left to finish: stopping it half-way undoes nothing, and its outcome would
     * be lost to a repeat of the caller's key.
     */
    void giveUp(Attempt attempt, Turn turn) {
        if (attempt.isBeforeCall()) {
            runs.refuse(attempt, ErrorKind.CANCELLED, "", turn);
        } else if (attempt.stage() == Attempt.Stage.ENDED) {
            runs.forget(attempt);
        } else if (attempt.dispatch().idempotent()) {
            turn.ask(new CompanionEffect.CancelCall(attempt.id()));
            runs.fail(attempt, ErrorKind.CANCELLED, "", turn);
        } else if (!attempt.isAbandoned()) {
            Frame.AnswerFailed cancelled =
                    new Frame.AnswerFailed(attempt.id(), runs.refusal(ErrorKind.CANCELLED, 0, "left to finish"));
            runs.send(attempt, cancelled, turn);
            attempt.abandon();
            turn.ask(new CompanionEffect.ReadMore(attempt.id(), CompanionEffect.INITIAL_WINDOW_CHUNKS));
        }
    }

    private void dispatch(long link, Frame.Dispatch dispatch, Turn turn) {
        AttemptId id = dispatch.attempt();
        if (dispatch.companionIncarnation() != incarnation) {
            refuse(link, id, ErrorKind.STALE_INCARNATION, 0, turn);
            return;
        }
        if (attempts.find(id) != null) {
            return;
        }
        Optional<ErrorKind> ended = tombstones.find(id);
        if (ended.isPresent()) {
            sayEnded(link, id, ended.get(), turn);
            return;
        }
        HeldTarget target = targets.find(dispatch.target());
        Optional<ErrorKind> objection = objection(target, dispatch, turn.nowMicros());
        if (objection.isPresent()) {
            tombstones.add(id, objection.get());
            refuse(
                    link,
                    id,
                    objection.get(),
                    target == null ? 0 : target.admission().expectedWaitMicros(dispatch.priority(), turn.nowMicros()),
                    turn);
            return;
        }
        customers.taken(dispatch, turn.nowMicros());
        runs.accept(new Attempt(dispatch, target, link, turn.nowMicros()), turn);
    }

    private Optional<ErrorKind> objection(HeldTarget target, Frame.Dispatch dispatch, long nowMicros) {
        if (target == null || !target.service().equals(dispatch.service())) {
            return Optional.of(ErrorKind.STALE_INCARNATION);
        }
        return draining ? Optional.of(ErrorKind.DRAINING) : target.objectionTo(dispatch, nowMicros);
    }

    /**
     * Stops an attempt for its entry. A cancel that overtook its dispatch, or whose dispatch was lost, leaves a
     * tombstone: the dispatch may still come and must not run.
     */
    private void cancel(long link, AttemptId id, Turn turn) {
        Attempt attempt = attempts.find(id);
        if (attempt != null) {
            giveUp(attempt, turn);
            return;
        }
        neverDispatched(link, id, turn);
    }

    private void resume(long link, Frame.Resume resume, Turn turn) {
        AttemptId id = resume.attempt();
        if (resume.companionIncarnation() != incarnation) {
            sayEnded(link, id, ErrorKind.OUTCOME_UNKNOWN, turn);
            return;
        }
        Attempt attempt = attempts.find(id);
        if (attempt == null) {
            neverDispatched(link, id, turn);
            return;
        }
        attempt.attach(link);
        if (attempt.isBeforeCall()) {
            runs.send(attempt, new Frame.Accepted(id), turn);
            return;
        }
        Optional<Integer> more = attempt.isAbandoned()
                ? Optional.empty()
                : attempt.answer().resume(resume.nextChunk(), frame -> runs.send(attempt, frame, turn));
        if (more.isEmpty()) {
            sayEnded(link, id, ErrorKind.OUTCOME_UNKNOWN, turn);
            return;
        }
        readMore(attempt, more.get(), turn);
    }

    private void credit(long link, Frame.Credit credit, Turn turn) {
        Attempt attempt = attempts.find(credit.attempt());
        if (attempt != null && attempt.link() == link) {
            if (attempt.answer().isWindowUsed()) {
                attempt.windowOpened(turn.nowMicros());
            }
            attempt.answer().credit(credit.chunks());
            readMore(attempt, credit.chunks(), turn);
        }
    }

    private void readMore(Attempt attempt, int chunks, Turn turn) {
        if (chunks > 0 && attempt.stage() == Attempt.Stage.CALLED) {
            turn.ask(new CompanionEffect.ReadMore(attempt.id(), chunks));
        }
    }

    /** Answers for an attempt that isn't here: how it ended, or that it never came and never will run. */
    private void neverDispatched(long link, AttemptId id, Turn turn) {
        ErrorKind kind = tombstones.find(id).orElse(ErrorKind.STALE_INCARNATION);
        tombstones.add(id, kind);
        sayEnded(link, id, kind, turn);
    }

    private void sayEnded(long link, AttemptId id, ErrorKind kind, Turn turn) {
        if (kind.runState() == RunState.NOT_RUN) {
            refuse(link, id, kind, 0, turn);
            return;
        }
        turn.ask(new CompanionEffect.SendFrame(link, new Frame.AnswerFailed(id, runs.refusal(kind, 0, ""))));
    }

    private void refuse(long link, AttemptId id, ErrorKind kind, long waitMicros, Turn turn) {
        Frame frame = new Frame.NotRun(id, runs.refusal(kind, waitMicros, ""), waitMicros);
        turn.ask(new CompanionEffect.SendFrame(link, frame));
    }
}
