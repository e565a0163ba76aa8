package org.rattanrudder.daemon.relay;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;

/** Runs steps later on the event loop, until it is closed; owned by that loop. */
final class StepTimer implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(StepTimer.class);

    /** How long after a failure a step runs again, in ms: it must neither end nor fill the log. */
    private static final long AGAIN_MILLIS = 500;

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

    /** Runs a step again and again, this long after it has ended. */
    void every(Runnable step, long millis) {
        later(
                () -> {
                    step.run();
                    every(step, millis);
                },
                millis);
    }

    private ScheduledFuture<?> schedule(Runnable step, long millis) {
        return loop.schedule(() -> runUnlessClosed(step), millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Runs a step. One that fails is logged and runs again a while later: the event loop keeps the exception of a timed
     * task to itself, and steps that schedule their next one themselves would have ended for good.
     */
    private void runUnlessClosed(Runnable step) {
        if (closed) {
            return;
        }
        try {
            step.run();
        } catch (RuntimeException failed) {
            LOG.error("event=step_failed cause=" + failed.getClass().getSimpleName(), failed);
            schedule(step, AGAIN_MILLIS);
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
