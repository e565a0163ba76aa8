package org.rattanrudder.core.gateway;

/**
 * Decides how long to wait for an unresponsive target before another one is tried.
 *
 * <p>Only requests that may be repeated are tried elsewhere. A target that responds to other requests meanwhile isn't
 * down: the request is queued there, and would have to queue again at another target.
 */
public final class ResponseTimeouts {
    /** Timeout for a stream's first event, as a multiple of the objective. */
    private static final double FIRST_EVENT_RATIO = 2.0;

    /** Timeout between events, as a multiple of the maximum pause that is on time. */
    private static final double PAUSE_RATIO = 2.5;

    /** How many times longer to wait for a target that responds to other requests. */
    private static final int ACTIVE_TARGET_FACTOR = 3;

    /**
     * The part of the objective after which a plain request is tried elsewhere; the rest suffices to process it there.
     */
    private static final double PLAIN_RATIO = 0.9;

    /** The part of the timeout after which an unresponsive target is probed. */
    private static final double PROBE_RATIO = 0.25;

    /** Minimum time before a probe: calls of plain services take some tens of ms. */
    private static final long MIN_PROBE_MILLIS = 200;

    /** Response timeout for a target that can't be reached. */
    private static final long UNREACHABLE_TIMEOUT_MILLIS = 100;

    private ResponseTimeouts() {}

    /**
     * Returns how long to wait for a response.
     *
     * @param unreachable whether connections to the target can no longer be opened
     */
    public static long timeoutMillis(ServiceRoute route, boolean responseStarted, boolean unreachable) {
        return unreachable ? UNREACHABLE_TIMEOUT_MILLIS : timeoutMillis(route, responseStarted);
    }

    /** Returns after how long without a response the target is probed. */
    public static long probeAfterMillis(ServiceRoute route, boolean responseStarted) {
        return Math.max(MIN_PROBE_MILLIS, (long) (timeoutMillis(route, responseStarted) * PROBE_RATIO));
    }

    /** Returns how long to wait for a response of a reachable target. */
    public static long timeoutMillis(ServiceRoute route, boolean responseStarted) {
        if (!route.repeat().stream()) {
            return (long) (route.objectiveMillis() * PLAIN_RATIO);
        }
        return (long)
                (responseStarted ? route.maxPauseMillis() * PAUSE_RATIO : route.objectiveMillis() * FIRST_EVENT_RATIO);
    }

    /**
     * Returns whether to keep waiting for a target after its response has timed out.
     *
     * @param quietMillis how long nothing was received for this request
     * @param servesOthers whether anything was received for other requests meanwhile
     */
    public static boolean keepsWaiting(
            ServiceRoute route, boolean responseStarted, long quietMillis, boolean servesOthers) {
        return route.repeat().stream()
                && servesOthers
                && quietMillis < ACTIVE_TARGET_FACTOR * timeoutMillis(route, responseStarted);
    }
}
