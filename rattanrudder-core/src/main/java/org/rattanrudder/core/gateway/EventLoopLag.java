package org.rattanrudder.core.gateway;

/**
 * Detects whether the event loop has recently run late.
 *
 * <p>After a start, a freeze or a long pause, requests may sit unprocessed in socket buffers, and some of their callers
 * have already left: the connection's close follows right after the request and is seen only in the loop's next
 * iteration. If sent on at once, such requests would reach targets although no caller waits for them. While the loop is
 * late they are deferred by one iteration; at other times that would only cost an extra wake-up each.
 *
 * <p>Times are milliseconds of a monotonic clock.
 */
public final class EventLoopLag {
    /** If a periodic task is this late, requests may have waited unprocessed. */
    private static final long LATE_MILLIS = 250;

    /** How long after a start or a late iteration the backlog may contain such requests. */
    private static final long CATCH_UP_MILLIS = 3_000;

    private final long periodMillis;
    private final long lateMillis;
    private final long catchUpMillis;
    private long expectedAt;
    private long lateUntil;

    /** Creates the state of a loop that starts now, with a periodic task of the given period. */
    public EventLoopLag(long nowMillis, long periodMillis) {
        this(nowMillis, periodMillis, LATE_MILLIS, CATCH_UP_MILLIS);
    }

    /**
     * Creates the state of a loop with bounds of its own.
     *
     * @param lateMillis from which delay of the task on the loop counts as late
     * @param catchUpMillis for how long it counts as late then
     */
    public EventLoopLag(long nowMillis, long periodMillis, long lateMillis, long catchUpMillis) {
        this.periodMillis = periodMillis;
        this.lateMillis = lateMillis;
        this.catchUpMillis = catchUpMillis;
        expectedAt = nowMillis + periodMillis;
        lateUntil = nowMillis + catchUpMillis;
    }

    /** Records a run of the periodic task. */
    public void onTaskRun(long nowMillis) {
        if (nowMillis - expectedAt > lateMillis) {
            lateUntil = nowMillis + catchUpMillis;
        }
        expectedAt = nowMillis + periodMillis;
    }

    /** Returns whether a request may have waited unprocessed. */
    public boolean isLate(long nowMillis) {
        return nowMillis < lateUntil || nowMillis - expectedAt > lateMillis;
    }
}
