package org.rattanrudder.core.gateway;

/**
 * Knows whether the event loop has lately run late.
 *
 * <p>After a start, a freeze or a long pause requests lie read but unseen, and some of their callers have left: the
 * close lies right behind the request, and is seen only in the loop's next turn. Sent on at once, such requests reach
 * targets for nobody. While the loop is late they wait for a turn; at other times that would only cost a wake-up each.
 *
 * <p>Times are milliseconds of a steady clock.
 */
public final class EventLoopLag {
    /** A regular task that is this late shows that requests may have waited. */
    private static final long LATE_MILLIS = 250;

    /** How long after a start or a late turn there may be such requests: what waited is worked off. */
    private static final long WORKED_OFF_MILLIS = 3_000;

    private final long everyMillis;
    private long expectedAt;
    private long lateUntil;

    /** Makes the state of a loop that starts now, with a regular task of the given period. */
    public EventLoopLag(long nowMillis, long everyMillis) {
        this.everyMillis = everyMillis;
        expectedAt = nowMillis + everyMillis;
        lateUntil = nowMillis + WORKED_OFF_MILLIS;
    }

    /** Notes a run of the regular task. */
    public void onTaskRun(long nowMillis) {
        if (nowMillis - expectedAt > LATE_MILLIS) {
            lateUntil = nowMillis + WORKED_OFF_MILLIS;
        }
        expectedAt = nowMillis + everyMillis;
    }

    /** Returns whether a request may have waited unseen. */
    public boolean isLate(long nowMillis) {
        return nowMillis < lateUntil || nowMillis - expectedAt > LATE_MILLIS;
    }
}
