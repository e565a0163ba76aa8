package org.rattanrudder.core.gateway;

/**
 * Decides whether a relay takes a connection that a caller opens.
 *
 * <p>The balancer may hand most new connections to one relay, which then can't read in time what they bring; callers on
 * kept connections wait as well. A connection that is closed unread costs its caller one more dial, at another relay.
 * New connections are closed only while the event loop is late, more of them come than usual, and another relay takes
 * them; some more than usual are taken even then, as the others may be late too.
 *
 * <p>Times are milliseconds of a monotonic clock.
 */
public final class ConnectionGate {
    /** How many times as many connections as usual are too many. */
    private static final double SURGE_RATIO = 2;

    /** Connections in a second that are never too many. */
    private static final int MIN_SURGE_PER_SECOND = 10;

    /** The weight of the last second in what is usual. */
    private static final double USUAL_WEIGHT = 0.05;

    private static final long SECOND_MILLIS = 1_000;

    /** Seconds after a start in which all connections are taken: callers come back then, and all code is new. */
    static final int LEARNING_SECONDS = 3;

    private long secondStartedAt;
    private int openedInSecond;
    private int takenInSecond;
    private double usualPerSecond;
    private int learntSeconds;

    /** Creates a gate that doesn't know yet what is usual, and takes all connections meanwhile. */
    public ConnectionGate(long nowMillis) {
        secondStartedAt = nowMillis;
    }

    /**
     * Records a new connection; returns whether it is taken.
     *
     * @param late whether the event loop is late
     * @param othersReady whether another relay takes connections
     */
    public boolean admits(boolean late, boolean othersReady, long nowMillis) {
        advance(nowMillis);
        openedInSecond++;
        boolean admitted = !late || !othersReady || learntSeconds < LEARNING_SECONDS || takenInSecond < bearable();
        takenInSecond += admitted ? 1 : 0;
        return admitted;
    }

    private double bearable() {
        return Math.max(MIN_SURGE_PER_SECOND, SURGE_RATIO * usualPerSecond);
    }

    private void advance(long nowMillis) {
        long passed = (nowMillis - secondStartedAt) / SECOND_MILLIS;
        if (passed <= 0) {
            return;
        }
        if (learntSeconds < LEARNING_SECONDS || openedInSecond <= bearable()) {
            double weight = Math.max(USUAL_WEIGHT, 1.0 / (learntSeconds + 1));
            usualPerSecond += weight * (openedInSecond - usualPerSecond);
            learntSeconds = (int) Math.min(LEARNING_SECONDS, learntSeconds + passed);
        }
        openedInSecond = 0;
        takenInSecond = 0;
        secondStartedAt += passed * SECOND_MILLIS;
    }
}
