package org.rattanrudder.daemon.relay.targets;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Lets connections take turns whose reads bring very many messages.
 *
 * <p>The event loop reads all connections that have bytes in each of its iterations. One read of many small messages
 * takes milliseconds, so many such connections would hold up all others. These are read in one iteration each.
 */
final class ReadTurns {
    private static final long TURN_MILLIS = 1;

    private final EventLoop loop;
    private final Deque<TargetConnection> waiting = new ArrayDeque<>();
    private boolean scheduled;

    /** Creates turns that nobody waits for. */
    ReadTurns(EventLoop loop) {
        this.loop = loop;
    }

    /** Adds a connection that has stopped reading; it is told when it may go on. */
    void await(TargetConnection connection) {
        waiting.addLast(connection);
        scheduleNext();
    }

    private void scheduleNext() {
        if (!scheduled && !waiting.isEmpty()) {
            scheduled = true;
            loop.schedule(this::startNext, TURN_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void startNext() {
        scheduled = false;
        boolean started = false;
        while (!started && !waiting.isEmpty()) {
            TargetConnection next = waiting.removeFirst();
            started = next.isActive();
            next.onReadTurn();
        }
        scheduleNext();
    }
}
