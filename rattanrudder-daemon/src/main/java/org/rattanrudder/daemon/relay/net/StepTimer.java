package org.rattanrudder.daemon.relay.net;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;

/** Schedules tasks on the event loop until it is closed; confined to that loop. */
public final class StepTimer implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(StepTimer.class);

    /** Delay before a failed task runs again: it must neither stop for good nor flood the log. */
    private static final long RETRY_MILLIS = 500;

    private final EventLoop loop;
    private ScheduledFuture<?> pending;
    private boolean closed;

    /** Creates a timer without tasks. */
    public StepTimer(EventLoop loop) {
        this.loop = loop;
    }

    /** Runs a step after a delay in ms, in addition to those already scheduled. */
    public void later(Runnable step, long millis) {
        schedule(step, millis);
    }

    /** Runs a step after a delay in ms, in place of the one last scheduled by this method. */
    public void reschedule(Runnable step, long millis) {
        if (pending != null) {
            pending.cancel(false);
        }
        pending = schedule(step, millis);
    }

    /** Runs a step repeatedly, with a fixed delay between its runs. */
    public void every(Runnable step, long millis) {
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
     * Runs a step. If it fails, the failure is logged and the step runs again after a delay: the event loop doesn't
     * report exceptions of scheduled tasks, and a step that schedules its own next run would otherwise never run again.
     */
    private void runUnlessClosed(Runnable step) {
        if (closed) {
            return;
        }
        try {
            step.run();
        } catch (RuntimeException failed) {
            LOG.error("event=step_failed cause=" + failed.getClass().getSimpleName(), failed);
            schedule(step, RETRY_MILLIS);
        }
    }

    public boolean isClosed() {
        return closed;
    }

    /** Prevents all steps that are still scheduled from running. */
    @Override
    public void close() {
        closed = true;
    }
}
