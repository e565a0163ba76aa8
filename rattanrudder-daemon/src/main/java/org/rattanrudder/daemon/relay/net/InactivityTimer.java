package org.rattanrudder.daemon.relay.net;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Runs a check after a period of inactivity, unless it is cancelled before.
 *
 * <p>After a pause of the process the event loop runs its timers before it reads its connections, so the pause looks
 * like inactivity of others while their data is still unread. A check that is itself late is therefore postponed until
 * connections were read.
 */
public final class InactivityTimer {
    /** A check that is later than this shows that the event loop was stalled: usual timers are late by a few ms. */
    private static final long LATE_THRESHOLD_MILLIS = 50;

    /** Delay of a late check: a timer set while tasks run never fires in the same iteration of the event loop. */
    private static final long RECHECK_DELAY_MILLIS = 2;

    private final EventLoop loop;
    private final Runnable check;
    private ScheduledFuture<?> scheduled;

    private InactivityTimer(EventLoop loop, Runnable check) {
        this.loop = loop;
        this.check = check;
    }

    /** Starts a timer; must be called, and cancelled, on the event loop. */
    public static InactivityTimer start(EventLoop loop, Runnable check, long millis) {
        InactivityTimer timer = new InactivityTimer(loop, check);
        long dueAt = timer.nowMillis() + millis;
        timer.scheduled = loop.schedule(() -> timer.onDue(dueAt), millis, TimeUnit.MILLISECONDS);
        return timer;
    }

    private void onDue(long dueAt) {
        if (nowMillis() - dueAt > LATE_THRESHOLD_MILLIS) {
            scheduled = loop.schedule(check, RECHECK_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            check.run();
        }
    }

    /** Prevents the check from running. */
    public void cancel() {
        scheduled.cancel(false);
    }

    /** By the clock of the event loop, which counts suspensions of the machine. */
    private long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(loop.ticker().nanoTime());
    }
}
