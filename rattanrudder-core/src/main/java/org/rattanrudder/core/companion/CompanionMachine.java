package org.rattanrudder.core.companion;

import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.rattanrudder.core.StateMachine;
import org.rattanrudder.core.admission.RetryAfterPolicy;
import org.rattanrudder.core.claims.ClaimSettings;
import org.rattanrudder.core.document.DocumentReader;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.log.LogStream;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.orders.OrderSettings;

/**
 * Decides what a companion's targets run, and in which order.
 *
 * <p>An attempt goes through these stages: dispatched by an entry, accepted, its key claimed ({@link KeyGate}), queued,
 * its context fetched ({@link ContextMover}), called, ended. Until it is called it can be refused as not run, and a
 * tombstone keeps that true; afterwards it ends with a whole answer or as unknown.
 */
public final class CompanionMachine implements StateMachine<CompanionEvent, CompanionEffect> {
    private final PauseWatch pauses = new PauseWatch();
    private final Links links = new Links();
    private final Attempts attempts = new Attempts();
    private final Targets targets;
    private final DocumentsInForce documents;
    private final Runs runs;
    private final Intake intake;
    private final Answers answers;
    private final Supervision supervision;
    private final StateReports reports;
    private final KeyGate gate;
    private final List<CompanionPart> parts;
    private boolean drained;

    /**
     * Creates a companion that knows no document yet.
     *
     * @param settings what it knows of itself
     * @param reader reads documents
     * @param random spreads the times at which refused callers come back
     */
    public CompanionMachine(CompanionSettings settings, DocumentReader reader, RandomGenerator random) {
        this(
                settings,
                reader,
                random,
                new ClaimGate(settings, ClaimSettings.DEFAULT, random),
                new StoredContextMover(random));
    }

    CompanionMachine(
            CompanionSettings settings,
            DocumentReader reader,
            RandomGenerator random,
            KeyGate gate,
            ContextMover mover) {
        this.gate = gate;
        Tombstones tombstones = new Tombstones();
        targets = new Targets(settings.advertised());
        documents = new DocumentsInForce(reader);
        runs = new Runs(attempts, tombstones, gate, mover, new RetryAfterPolicy(random));
        intake = new Intake(settings.incarnation(), targets, attempts, tombstones, runs);
        answers = new Answers(attempts, gate, runs);
        supervision = new Supervision(attempts, intake, runs);
        reports = new StateReports(settings, targets, documents, links, intake, mover);
        EngineOrders orders = new EngineOrders(settings.incarnation(), OrderSettings.DEFAULT, random);
        parts = List.of(gate, mover, orders);
    }

    @Override
    public void handle(CompanionEvent event, long nowMicros, Consumer<? super CompanionEffect> effects) {
        Turn turn = new Turn(nowMicros, effects);
        if (!takeFromTarget(event, turn) && !takeFromEntry(event, turn)) {
            takeOther(event, turn);
        }
        parts.forEach(part -> part.handle(event, turn));
        reports.report(turn);
        sayDrained(turn);
    }

    private boolean takeFromTarget(CompanionEvent event, Turn turn) {
        if (event instanceof CompanionEvent.TargetChunk chunk) {
            answers.chunk(chunk, turn);
        } else if (event instanceof CompanionEvent.TargetAnswerStarted answered) {
            answers.answered(answered, turn);
        } else if (event instanceof CompanionEvent.TargetAnswerEnded ended) {
            answers.ended(ended, turn);
        } else if (event instanceof CompanionEvent.TargetFailed failed) {
            answers.failed(failed, turn);
        } else if (event instanceof CompanionEvent.LoadReported reported) {
            takeLoad(reported, turn);
        } else if (event instanceof CompanionEvent.LoadReportMissed missed) {
            HeldTarget target = targets.find(missed.target());
            if (target != null) {
                target.missReport(turn.nowMicros());
            }
        } else {
            return false;
        }
        return true;
    }

    private boolean takeFromEntry(CompanionEvent event, Turn turn) {
        if (event instanceof CompanionEvent.FrameArrived arrived) {
            takeFrame(arrived.link(), arrived.frame(), turn);
        } else if (event instanceof CompanionEvent.LinkOpened opened) {
            openLink(opened, turn);
        } else if (event instanceof CompanionEvent.LinkClosed closed) {
            links.close(closed.link());
            detach(closed.link(), turn);
        } else {
            return false;
        }
        return true;
    }

    private void takeOther(CompanionEvent event, Turn turn) {
        if (event instanceof CompanionEvent.Tick) {
            tick(turn);
        } else if (event instanceof CompanionEvent.LogRead read && read.stream() == LogStream.CONFIGURATION) {
            if (documents.read(read.records(), turn)) {
                configure(turn);
            }
        } else if (event instanceof CompanionEvent.LogReadFailed failed && failed.stream() == LogStream.CONFIGURATION) {
            documents.readFailed();
        } else if (event instanceof CompanionEvent.DrainRequested) {
            drain(turn);
        }
    }

    /**
     * Takes a frame. One from a link that is closed or replaced, or of another entry's attempt, is a leftover of an
     * earlier connection or process: it is dropped, since its sender can't be waiting for an answer here.
     */
    private void takeFrame(long link, Frame frame, Turn turn) {
        if (!links.hear(link, turn.nowMicros())) {
            return;
        }
        if (frame instanceof Frame.AttemptFrame ofAttempt
                && links.belongsTo(link, ofAttempt.attempt().entryIncarnation())) {
            intake.take(link, ofAttempt, turn);
        } else if (documents.hear(link, frame, turn)) {
            configure(turn);
        }
    }

    private void openLink(CompanionEvent.LinkOpened opened, Turn turn) {
        links.open(opened.link(), opened.hello(), turn.nowMicros()).ifPresent(older -> closeLink(older, turn));
        reports.greet(opened.link(), turn);
        documents.linked(opened.link(), turn);
        if (intake.isDraining()) {
            turn.ask(new CompanionEffect.SendFrame(opened.link(), new Frame.Leaving()));
        }
    }

    private void closeLink(long link, Turn turn) {
        turn.ask(new CompanionEffect.CloseLink(link));
        detach(link, turn);
    }

    private void detach(long link, Turn turn) {
        attempts.matching(attempt -> attempt.link() == link).forEach(attempt -> attempt.detach(turn.nowMicros()));
    }

    private void tick(Turn turn) {
        if (!pauses.mayJudge(turn.nowMicros())) {
            return;
        }
        for (long silent : links.dropSilent(turn.nowMicros())) {
            turn.note("link_silent", "link", Long.toString(silent));
            closeLink(silent, turn);
        }
        supervision.tick(turn);
        targets.all().forEach(target -> runs.review(target, turn));
        targets.forgetIdle();
    }

    /** An attempt that waits was admitted for the version before; one that runs keeps its own. */
    private void takeLoad(CompanionEvent.LoadReported reported, Turn turn) {
        HeldTarget target = targets.find(reported.target());
        if (target != null && target.report(reported.load())) {
            runs.refuseQueued(target, ErrorKind.VERSION_CHANGED, turn);
            announce(turn);
        }
    }

    private void configure(Turn turn) {
        targets.apply(documents.documents(), turn);
        for (HeldTarget target : targets.all()) {
            if (!target.isOpen()) {
                runs.refuseQueued(target, ErrorKind.DRAINING, turn);
            }
            runs.fill(target, turn);
        }
        announce(turn);
    }

    private void announce(Turn turn) {
        parts.forEach(part -> part.configured(targets.all(), turn));
    }

    /** Hands back what waits at once, so that the entries send it elsewhere, and lets finish what runs. */
    private void drain(Turn turn) {
        if (intake.isDraining()) {
            return;
        }
        intake.drain();
        links.all().forEach(link -> turn.ask(new CompanionEffect.SendFrame(link, new Frame.Leaving())));
        attempts.matching(Attempt::isBeforeCall).forEach(attempt -> runs.handBack(attempt, turn));
    }

    private void sayDrained(Turn turn) {
        if (intake.isDraining()
                && !drained
                && attempts.matching(CompanionMachine::isUnfinished).isEmpty()
                && gate.isSettled(turn.nowMicros())) {
            drained = true;
            turn.ask(new CompanionEffect.Drained());
        }
    }

    /** An answer that has ended is finished once its entry's link took it all. */
    private static boolean isUnfinished(Attempt attempt) {
        return attempt.stage() != Attempt.Stage.ENDED || attempt.isDetached();
    }
}
