package org.rattanrudder.daemon.relay;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Runs steps later on the event loop, until it is closed; owned by that loop. */
final class StepTimer implements AutoCloseable {
    private final EventLoop loop;
    private ScheduledFuture<?> next;
    private boolean closed;

    StepTimer(EventLoop loop) {
        this.loop = loop;
    }

    /** Runs a step after a time in ms, whatever else waits. */
    void later(Runnable step, long millis) {
        schedule(step, millis);
    }

    /** Runs a step after a time in ms, in place of the one that this was last called with. */
    void next(Runnable step, long millis) {
        if (next != null) {
            next.cancel(false);
        }
        next = schedule(step, millis);
    }

    private ScheduledFuture<?> schedule(Runnable step, long millis) {
        return loop.schedule(() -> runUnlessClosed(step), millis, TimeUnit.MILLISECONDS);
    }

    private void runUnlessClosed(Runnable step) {
        if (!closed) {
            step.run();
        }
    }

    boolean isClosed() {
        return closed;
    }

    /** Steps that still wait are not run any more. */
    @Override
    public void close() {
        closed = true;
    }
}
