package org.rattanrudder.daemon.relay.net;

import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * Records for how long an event loop works before it looks at its connections and timers again.
 *
 * <p>Meanwhile nothing is read, answered or given up, whatever it is for. Confined to the loop, but for {@link
 * #longestSeconds}.
 */
public final class LoopTurns {
    /** A turn that is as long is reported: an answer that came due at its start is half as late as it may be. */
    static final long STALL_MILLIS = 250;

    private static final long WINDOW_NANOS = TimeUnit.MINUTES.toNanos(1);

    private final LongConsumer onStall;
    private long ioNanos;
    private long windowEndsAt;
    private volatile long longestBefore;
    private volatile long longestNow;

    /**
     * Creates a record of no turns.
     *
     * @param onStall receives the length of each turn of {@link #STALL_MILLIS} or more, in ms, after it has ended
     */
    public LoopTurns(LongConsumer onStall) {
        this.onStall = onStall;
    }

    /** Returns the longest turn of the last one to two minutes, in seconds; callable from any thread. */
    public double longestSeconds() {
        return Math.max(longestBefore, longestNow) / (double) TimeUnit.SECONDS.toNanos(1);
    }

    /** Records that connections were handled. */
    void onConnectionsHandled(long nanos) {
        ioNanos += nanos;
    }

    /** Records that tasks were run, with which a turn ends. */
    void onTasksRun(long nanos, long nowNanos) {
        long turn = ioNanos + nanos;
        ioNanos = 0;
        if (nowNanos - windowEndsAt >= 0) {
            longestBefore = nowNanos - windowEndsAt < WINDOW_NANOS ? longestNow : 0;
            longestNow = 0;
            windowEndsAt = nowNanos + WINDOW_NANOS;
        }
        longestNow = Math.max(longestNow, turn);
        long millis = TimeUnit.NANOSECONDS.toMillis(turn);
        if (millis >= STALL_MILLIS) {
            onStall.accept(millis);
        }
    }
}
