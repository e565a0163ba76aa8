package org.rattanrudder.core.gateway;

/**
 * Decides which requests a relay still accepts after it was asked to stop.
 *
 * <p>Accepted requests must end before the process is killed. A plain request ends by its route's timeout at the
 * latest. A stream may run for many seconds, so one is accepted only while callers can't yet know that the relay is
 * stopping.
 */
public final class ShutdownPolicy {
    /**
     * How long a stopping relay stays ready while no other relay is. Without it, a rolling restart that is faster than
     * each relay needs to finish its requests and come back would leave no relay ready: three of three were down for
     * two seconds. Callers must have moved to other relays four seconds after the stop request, and new connections
     * arrive until two readiness checks a second apart have failed: with 2.8 s, two of six relays still got new ones
     * after that.
     */
    private static final long MAX_READINESS_HOLD_MILLIS = 1_800;

    /**
     * How long callers that can't know of the stop keep coming: new connections arrive until two readiness checks have
     * failed, at most 2 s later. Streams are accepted for this time after the stop request. All requests are accepted
     * for this time after readiness was withdrawn; later ones, on connections that were already open, are refused as
     * not run.
     */
    private static final long MAX_CALLER_DRAIN_MILLIS = 2_600;

    /**
     * How long before the process is killed all requests must have ended, so that the last responses are sent and the
     * process exits.
     */
    private static final long MAX_EXIT_MARGIN_MILLIS = 800;

    /**
     * Upper bounds of the times above as shares of a short grace period: the requests accepted last keep a fifth of it
     * to finish, which the times above would use up. From 8 s on the times above are the smaller ones.
     */
    private static final double READINESS_HOLD_SHARE = 0.35;

    private static final double CALLER_DRAIN_SHARE = 0.325;
    private static final double EXIT_MARGIN_SHARE = 0.1;

    private ShutdownPolicy() {}

    /** Returns how long a relay stays ready while no other one is, in ms from the stop request. */
    public static long readinessHoldMillis(long graceMillis) {
        return Math.min(MAX_READINESS_HOLD_MILLIS, (long) (graceMillis * READINESS_HOLD_SHARE));
    }

    /** Returns how long requests are accepted since their callers can't know of the stop. */
    public static long callerDrainMillis(long graceMillis) {
        return Math.min(MAX_CALLER_DRAIN_MILLIS, (long) (graceMillis * CALLER_DRAIN_SHARE));
    }

    /** Returns how long before the process is killed all requests must have ended. */
    public static long exitMarginMillis(long graceMillis) {
        return Math.min(MAX_EXIT_MARGIN_MILLIS, (long) (graceMillis * EXIT_MARGIN_SHARE));
    }

    /**
     * Returns whether a request is accepted.
     *
     * @param route its route
     * @param sinceMillis how long ago the relay was asked to stop
     * @param graceMillis the time from the stop request until the process is killed
     */
    public static boolean accepts(ServiceRoute route, long sinceMillis, long graceMillis) {
        if (route.repeat().stream()) {
            return sinceMillis <= callerDrainMillis(graceMillis);
        }
        return sinceMillis + route.timeoutMillis() <= graceMillis - exitMarginMillis(graceMillis);
    }
}
