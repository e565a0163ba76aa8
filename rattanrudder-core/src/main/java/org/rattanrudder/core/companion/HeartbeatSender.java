package org.rattanrudder.core.companion;

import java.util.ArrayList;
import java.util.List;
import org.rattanrudder.core.frame.Frame;

/** Sends heartbeats with the states of the targets to entries: every second, and earlier after a significant change. */
final class HeartbeatSender {
    static final long HEARTBEAT_INTERVAL_MICROS = 1_000_000;

    /**
     * Minimum interval between two checks of the states, so that a queue whose length fluctuates doesn't flood the
     * links.
     */
    static final long MIN_CHECK_INTERVAL_MICROS = 100_000;

    /**
     * A change of the expected wait by this factor, and by at least {@link #SIGNIFICANT_WAIT_MICROS}, is significant.
     */
    private static final int SIGNIFICANT_WAIT_RATIO = 2;

    private static final long SIGNIFICANT_WAIT_MICROS = 50_000;

    private final long incarnation;
    private final AssignedTargets targets;
    private final ActiveDocuments documents;
    private final Links links;
    private final AttemptFrameHandler frameHandler;
    private final ContextMover mover;
    private List<Frame.TargetState> lastSent = List.of();
    private long lastSentMicros = Long.MIN_VALUE / 2;
    private long lastCheckMicros = Long.MIN_VALUE / 2;

    HeartbeatSender(
            CompanionSettings settings,
            AssignedTargets targets,
            ActiveDocuments documents,
            Links links,
            AttemptFrameHandler frameHandler,
            ContextMover mover) {
        this.incarnation = settings.incarnation();
        this.targets = targets;
        this.documents = documents;
        this.links = links;
        this.frameHandler = frameHandler;
        this.mover = mover;
    }

    /** Sends a heartbeat on a new link. */
    void sendTo(long link, EventContext context) {
        send(link, states(context.nowMicros()), context);
    }

    /** Sends a heartbeat on all links if one is due. */
    void sendIfDue(EventContext context) {
        if (context.nowMicros() - lastCheckMicros < MIN_CHECK_INTERVAL_MICROS) {
            return;
        }
        lastCheckMicros = context.nowMicros();
        long since = context.nowMicros() - lastSentMicros;
        List<Frame.TargetState> states = states(context.nowMicros());
        if (since < HEARTBEAT_INTERVAL_MICROS && !changedSignificantly(states)) {
            return;
        }
        lastSent = states;
        lastSentMicros = context.nowMicros();
        links.all().forEach(link -> send(link, states, context));
    }

    private void send(long link, List<Frame.TargetState> states, EventContext context) {
        Frame heartbeat = new Frame.Heartbeat(
                incarnation,
                links.nextHeartbeat(link),
                states,
                documents.revisions(),
                links.all().size(),
                frameHandler.customerCounts().recent(context.nowMicros()));
        context.emit(new CompanionEffect.SendFrame(link, heartbeat));
    }

    private List<Frame.TargetState> states(long nowMicros) {
        List<Frame.TargetState> states = new ArrayList<>();
        for (AssignedTarget target : targets.all()) {
            if (!target.isReleased()) {
                long fetchSpeed = mover.fetchBytesPerSecond(target.name());
                states.add(target.state(frameHandler.acceptsAttempts(target, nowMicros), fetchSpeed, nowMicros));
            }
        }
        return states;
    }

    private boolean changedSignificantly(List<Frame.TargetState> states) {
        if (states.size() != lastSent.size()) {
            return true;
        }
        for (int index = 0; index < states.size(); index++) {
            if (changedSignificantly(lastSent.get(index), states.get(index))) {
                return true;
            }
        }
        return false;
    }

    private static boolean changedSignificantly(Frame.TargetState before, Frame.TargetState now) {
        long shorter = Math.min(before.waitMicros(), now.waitMicros());
        long longer = Math.max(before.waitMicros(), now.waitMicros());
        return !before.target().equals(now.target())
                || before.accepting() != now.accepting()
                || !before.weightVersion().equals(now.weightVersion())
                || longer - shorter >= SIGNIFICANT_WAIT_MICROS && longer >= SIGNIFICANT_WAIT_RATIO * shorter;
    }
}
