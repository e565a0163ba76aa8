package org.rattanrudder.core.gateway;

/**
 * Decides how long a silent target is waited for before another one is tried.
 *
 * <p>Only requests that may be repeated are tried elsewhere. A target that serves others meanwhile isn't dead: the
 * request waits its turn there, and would have to wait again elsewhere.
 */
public final class ResponseTimeouts {
    /** Silence before a stream's first event, as a multiple of the objective. */
    private static final double FIRST_EVENT = 2.0;

    /** Silence between events, as a multiple of the longest pause that is on time. */
    private static final double PAUSE = 2.5;

    /** By how much longer a target is waited for that serves other requests. */
    private static final int ALIVE = 3;

    /** The part of the objective after which a plain request is tried elsewhere: the rest does for its work there. */
    private static final double PLAIN = 0.9;

    /** The part of the patience after which a silent target is looked at. */
    private static final double SUSPICIOUS = 0.25;

    /** The least silence that is suspicious, in ms: calls of plain services take some tens. */
    private static final long LEAST_SUSPICIOUS_MILLIS = 200;

    /** The least silence after which a target that can't be reached is given up, in ms. */
    private static final long GONE_MILLIS = 100;

    private ResponseTimeouts() {}

    /**
     * Returns how long a target may be silent, in ms.
     *
     * @param gone whether no connection to it can be had any more
     */
    public static long timeoutMillis(ServiceRoute route, boolean answerBegan, boolean gone) {
        return gone ? GONE_MILLIS : timeoutMillis(route, answerBegan);
    }

    /** Returns after which silence a target may be gone, in ms. */
    public static long probeAfterMillis(ServiceRoute route, boolean answerBegan) {
        return Math.max(LEAST_SUSPICIOUS_MILLIS, (long) (timeoutMillis(route, answerBegan) * SUSPICIOUS));
    }

    /** Returns how long a target that can be reached may be silent, in ms. */
    public static long timeoutMillis(ServiceRoute route, boolean answerBegan) {
        if (!route.repeat().stream()) {
            return (long) (route.objectiveMillis() * PLAIN);
        }
        return (long) (answerBegan ? route.maxPauseMillis() * PAUSE : route.objectiveMillis() * FIRST_EVENT);
    }

    /**
     * Returns whether a target that was silent for longer than that is waited for all the same.
     *
     * @param quietMillis how long it was silent for this request
     * @param servesOthers whether something came from it for other requests meanwhile
     */
    public static boolean keepsWaiting(
            ServiceRoute route, boolean answerBegan, long quietMillis, boolean servesOthers) {
        return route.repeat().stream() && servesOthers && quietMillis < ALIVE * timeoutMillis(route, answerBegan);
    }
}
