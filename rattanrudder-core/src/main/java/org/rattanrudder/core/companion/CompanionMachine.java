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
import org.rattanrudder.core.time.EventTime;

/**
 * State machine of a companion: decides which attempts its targets run, and in which order.
 *
 * <p>An attempt goes through these stages: dispatched by an entry, accepted, its idempotency key claimed ({@link
 * IdempotencyGate}), queued, its context fetched ({@link ContextMover}), called, ended. Until it is called it can be
 * refused as not run, and a tombstone ensures that it won't run later. Afterwards it ends with a complete answer or as
 * unknown.
 */
public final class CompanionMachine implements StateMachine<CompanionEvent, CompanionEffect> {
    private final PauseDetector pauseDetector = new PauseDetector();
    private final Links links = new Links();
    private final Attempts attempts = new Attempts();
    private final AssignedTargets targets;
    private final ActiveDocuments documents;
    private final AttemptRunner runner;
    private final AttemptFrameHandler frameHandler;
    private final TargetAnswerHandler answerHandler;
    private final AttemptTimeouts timeouts;
    private final HeartbeatSender heartbeats;
    private final IdempotencyGate gate;
    private final List<CompanionPart> parts;
    private boolean drained;

    /**
     * Creates a companion without documents.
     *
     * @param settings identity of the companion
     * @param reader parses documents
     * @param random adds jitter to retry times
     */
    public CompanionMachine(CompanionSettings settings, DocumentReader reader, RandomGenerator random) {
        this(
                settings,
                reader,
                random,
                new LogIdempotencyGate(settings, ClaimSettings.DEFAULT, random),
                new StoredContextMover(random));
    }

    CompanionMachine(
            CompanionSettings settings,
            DocumentReader reader,
            RandomGenerator random,
            IdempotencyGate gate,
            ContextMover mover) {
        this.gate = gate;
        Tombstones tombstones = new Tombstones();
        targets = new AssignedTargets(settings.advertised());
        documents = new ActiveDocuments(reader);
        runner = new AttemptRunner(attempts, tombstones, gate, mover, new RetryAfterPolicy(random));
        frameHandler = new AttemptFrameHandler(settings.incarnation(), targets, attempts, tombstones, runner);
        answerHandler = new TargetAnswerHandler(attempts, gate, runner);
        timeouts = new AttemptTimeouts(attempts, frameHandler, runner);
        heartbeats = new HeartbeatSender(settings, targets, documents, links, frameHandler, mover);
        EngineOrders orders = new EngineOrders(settings.incarnation(), OrderSettings.DEFAULT, random);
        parts = List.of(gate, mover, orders);
    }

    @Override
    public void handle(CompanionEvent event, EventTime now, Consumer<? super CompanionEffect> effects) {
        EventContext context = new EventContext(now, effects);
        if (!handleTargetEvent(event, context) && !handleEntryEvent(event, context)) {
            handleOtherEvent(event, context);
        }
        parts.forEach(part -> part.handle(event, context));
        heartbeats.sendIfDue(context);
        reportDrained(context);
    }

    private boolean handleTargetEvent(CompanionEvent event, EventContext context) {
        if (event instanceof CompanionEvent.TargetChunk chunk) {
            answerHandler.onChunk(chunk, context);
        } else if (event instanceof CompanionEvent.TargetAnswerStarted started) {
            answerHandler.onStarted(started, context);
        } else if (event instanceof CompanionEvent.TargetAnswerEnded ended) {
            answerHandler.onEnded(ended, context);
        } else if (event instanceof CompanionEvent.TargetFailed failed) {
            answerHandler.onFailed(failed, context);
        } else if (event instanceof CompanionEvent.LoadReported reported) {
            handleLoadReport(reported, context);
        } else if (event instanceof CompanionEvent.LoadReportMissed missed) {
            AssignedTarget target = targets.find(missed.target());
            if (target != null) {
                target.onReportMissed(context.nowMicros());
            }
        } else {
            return false;
        }
        return true;
    }

    private boolean handleEntryEvent(CompanionEvent event, EventContext context) {
        if (event instanceof CompanionEvent.FrameArrived arrived) {
            handleFrame(arrived.link(), arrived.frame(), context);
        } else if (event instanceof CompanionEvent.LinkOpened opened) {
            openLink(opened, context);
        } else if (event instanceof CompanionEvent.LinkClosed closed) {
            links.close(closed.link());
            detachAttempts(closed.link(), context);
        } else {
            return false;
        }
        return true;
    }

    private void handleOtherEvent(CompanionEvent event, EventContext context) {
        if (event instanceof CompanionEvent.Tick) {
            tick(context);
        } else if (event instanceof CompanionEvent.LogRead read && read.stream() == LogStream.CONFIGURATION) {
            if (documents.onLogRead(read.records(), context)) {
                applyDocuments(context);
            }
        } else if (event instanceof CompanionEvent.LogReadFailed failed && failed.stream() == LogStream.CONFIGURATION) {
            documents.onLogReadFailed();
        } else if (event instanceof CompanionEvent.DrainRequested) {
            drain(context);
        }
    }

    /**
     * Handles a frame. A frame from a closed or replaced link, or for an attempt of another entry, is left over from an
     * earlier connection or process. It is dropped, since its sender can't be waiting for an answer on this link.
     */
    private void handleFrame(long link, Frame frame, EventContext context) {
        if (!links.onFrame(link, context.nowMicros())) {
            return;
        }
        if (frame instanceof Frame.AttemptFrame attemptFrame
                && links.belongsTo(link, attemptFrame.attempt().entryIncarnation())) {
            frameHandler.handle(link, attemptFrame, context);
        } else if (documents.onFrame(link, frame, context)) {
            applyDocuments(context);
        }
    }

    private void openLink(CompanionEvent.LinkOpened opened, EventContext context) {
        links.open(opened.link(), opened.hello(), context.nowMicros()).ifPresent(older -> closeLink(older, context));
        heartbeats.sendTo(opened.link(), context);
        documents.onLinkOpened(opened.link(), context);
        if (frameHandler.isDraining()) {
            context.emit(new CompanionEffect.SendFrame(opened.link(), new Frame.Leaving()));
        }
    }

    private void closeLink(long link, EventContext context) {
        context.emit(new CompanionEffect.CloseLink(link));
        detachAttempts(link, context);
    }

    private void detachAttempts(long link, EventContext context) {
        attempts.matching(attempt -> attempt.link() == link).forEach(attempt -> attempt.detach(context.nowMicros()));
    }

    private void tick(EventContext context) {
        if (!pauseDetector.tick(context.nowMicros())) {
            return;
        }
        for (long idle : links.removeIdle(context.nowMicros())) {
            context.logEvent("link_silent", "link", Long.toString(idle));
            closeLink(idle, context);
        }
        timeouts.tick(context);
        targets.all().forEach(target -> runner.checkQueue(target, context));
        targets.removeIdle();
    }

    /**
     * Refuses queued attempts when the weight version changes, since they were admitted for the previous one. Running
     * attempts continue with theirs.
     */
    private void handleLoadReport(CompanionEvent.LoadReported reported, EventContext context) {
        AssignedTarget target = targets.find(reported.target());
        if (target != null && target.onLoadReport(reported.load())) {
            runner.refuseQueued(target, ErrorKind.VERSION_CHANGED, context);
            notifyParts(context);
        }
    }

    private void applyDocuments(EventContext context) {
        targets.apply(documents.documents(), context);
        for (AssignedTarget target : targets.all()) {
            if (!target.isOpen()) {
                runner.refuseQueued(target, ErrorKind.DRAINING, context);
            }
            runner.fillSlots(target, context);
        }
        notifyParts(context);
    }

    private void notifyParts(EventContext context) {
        parts.forEach(part -> part.onTargetsChanged(targets.all(), context));
    }

    /** Returns queued attempts at once, so that entries send them elsewhere, and lets running ones finish. */
    private void drain(EventContext context) {
        if (frameHandler.isDraining()) {
            return;
        }
        frameHandler.drain();
        links.all().forEach(link -> context.emit(new CompanionEffect.SendFrame(link, new Frame.Leaving())));
        attempts.matching(Attempt::isBeforeCall).forEach(attempt -> runner.returnToEntry(attempt, context));
    }

    private void reportDrained(EventContext context) {
        if (frameHandler.isDraining()
                && !drained
                && attempts.matching(CompanionMachine::isUnfinished).isEmpty()
                && gate.isSettled(context.nowMicros())) {
            drained = true;
            context.emit(new CompanionEffect.Drained());
        }
    }

    /**
     * Returns whether an attempt still holds up the drain: it hasn't ended, or its answer couldn't be sent for lack of
     * a link.
     */
    private static boolean isUnfinished(Attempt attempt) {
        return attempt.stage() != Attempt.Stage.ENDED || attempt.isDetached();
    }
}
