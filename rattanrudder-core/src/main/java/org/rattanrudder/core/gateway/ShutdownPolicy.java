package org.rattanrudder.core.gateway;

import java.util.OptionalLong;

/**
 * Decides which requests a relay still accepts after it was asked to stop.
 *
 * <p>Accepted requests must end before the process is killed. A request ends by its route's timeout and its caller's
 * deadline at the latest, and is expected to take no longer than those before it on its route. A stream that takes
 * longer can only be cut, so one is accepted only while callers can't yet know that the relay is stopping.
 */
public final class ShutdownPolicy {
    /**
     * How long a stopping relay stays ready while no other relay is. Without it, a rolling restart that is faster than
     * each relay needs to finish its requests and come back would leave no relay ready. Callers must have moved to
     * other relays four seconds after the stop request, and new connections arrive until two readiness checks a second
     * apart have failed.
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

    /** Returns whether callers may not know of the stop yet; from then on what is refused goes elsewhere at once. */
    public static boolean mayCallersBeUnaware(long sinceMillis, long graceMillis) {
        return sinceMillis <= callerDrainMillis(graceMillis);
    }

    /** Returns how long before the process is killed all requests must have ended. */
    public static long exitMarginMillis(long graceMillis) {
        return Math.min(MAX_EXIT_MARGIN_MILLIS, (long) (graceMillis * EXIT_MARGIN_SHARE));
    }

    /** Returns how long before the process is killed answers that aren't sent in full are cut. */
    public static long cutMarginMillis(long graceMillis) {
        return exitMarginMillis(graceMillis) / 2;
    }

    /**
     * Returns whether a request is accepted.
     *
     * @param stream whether its response is a stream
     * @param boundMillis the time after which it ends at the latest, by its deadline
     * @param usualMillis how long such requests take at most; empty if unknown
     * @param sinceMillis how long ago the relay was asked to stop
     * @param graceMillis the time from the stop request until the process is killed
     */
    public static boolean accepts(
            boolean stream, long boundMillis, OptionalLong usualMillis, long sinceMillis, long graceMillis) {
        if (stream && !mayCallersBeUnaware(sinceMillis, graceMillis)) {
            return false;
        }
        return finishes(boundMillis, usualMillis, sinceMillis, graceMillis);
    }

    /** Returns whether a request that is sent to a target now is known to end in time; parameters as above. */
    public static boolean finishes(long boundMillis, OptionalLong usualMillis, long sinceMillis, long graceMillis) {
        long longest = Math.min(boundMillis, usualMillis.orElse(Long.MAX_VALUE));
        return sinceMillis + longest <= graceMillis - exitMarginMillis(graceMillis);
    }
}
