package org.rattanrudder.daemon.relay;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Runs a check once something was silent for a time, unless it is cancelled before.
 *
 * <p>After a pause of the process the loop's timers run before its connections are read, and the pause looks like the
 * silence of others: what they sent lies there unread. A check that is late itself waits until connections were read.
 */
final class InactivityTimer {
    /** A check that is this late, in ms, shows that the loop stood still: usual timers are late by a few. */
    private static final long LATE_MILLIS = 50;

    /** From a late check to the next, in ms: a timer that is set while tasks run never runs in the same turn. */
    private static final long TURN_MILLIS = 2;

    private final EventLoop loop;
    private final Runnable check;
    private ScheduledFuture<?> next;

    private InactivityTimer(EventLoop loop, Runnable check) {
        this.loop = loop;
        this.check = check;
    }

    /** Starts a timer; to be called, and cancelled, on the loop. */
    static InactivityTimer start(EventLoop loop, Runnable check, long millis) {
        InactivityTimer timer = new InactivityTimer(loop, check);
        long dueAt = nowMillis() + millis;
        timer.next = loop.schedule(() -> timer.due(dueAt), millis, TimeUnit.MILLISECONDS);
        return timer;
    }

    private void due(long dueAt) {
        if (nowMillis() - dueAt > LATE_MILLIS) {
            next = loop.schedule(check, TURN_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            check.run();
        }
    }

    void cancel() {
        next.cancel(false);
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
