package org.rattanrudder.core.gateway;

/**
 * Decides which requests a gateway still takes after it was asked to stop.
 *
 * <p>What it has taken must end before the process is ended by force. A plain request ends by its route's timeout at
 * the latest. A stream may run for many seconds, so that one is taken only while callers can't yet know that they
 * should go elsewhere.
 */
public final class ShutdownPolicy {
    /**
     * How long a gateway that was asked to stop stays ready while no other one is, in ms. Gateways that are restarted
     * in turn, faster than each needs to end its requests and come back, would else all be away at once: three of three
     * were, for two seconds. Four seconds after the request to stop callers must have gone elsewhere, and they come
     * until two readiness checks a second apart were missed: with 2.8 s two of six still had new ones then.
     */
    private static final long STAY_MILLIS = 1_800;

    /**
     * How long callers come that can't know better, in ms: new connections come until two readiness checks were missed,
     * after 2 s at most. Streams are taken so long after the request to stop. After readiness was taken back, so long
     * everything is; requests that come later, on connections that were open before, are refused as not run.
     */
    private static final long CALLERS_LEAVE_MILLIS = 2_600;

    /** How long before the forced end all must have ended, in ms: the last answers leave, and the process ends. */
    private static final long END_MARGIN_MILLIS = 800;

    /**
     * The largest parts of a short grace: what is taken last keeps a fifth of it to end, where the times above would
     * take up all of it. From 8 s on the times above are the smaller ones.
     */
    private static final double STAY_PART = 0.35;

    private static final double CALLERS_LEAVE_PART = 0.325;
    private static final double END_MARGIN_PART = 0.1;

    private ShutdownPolicy() {}

    /** Returns how long a gateway stays ready while no other one is, in ms from the request to stop. */
    public static long readinessHoldMillis(long graceMillis) {
        return Math.min(STAY_MILLIS, (long) (graceMillis * STAY_PART));
    }

    /** Returns how long requests are taken because their callers can't know better, in ms. */
    public static long callerDrainMillis(long graceMillis) {
        return Math.min(CALLERS_LEAVE_MILLIS, (long) (graceMillis * CALLERS_LEAVE_PART));
    }

    /** Returns how long before the forced end all must have ended, in ms. */
    public static long exitMarginMillis(long graceMillis) {
        return Math.min(END_MARGIN_MILLIS, (long) (graceMillis * END_MARGIN_PART));
    }

    /**
     * Returns whether a request is taken.
     *
     * @param route its route
     * @param sinceMillis how long ago the gateway was asked to stop
     * @param graceMillis from the request to stop until the process is ended by force
     */
    public static boolean accepts(ServiceRoute route, long sinceMillis, long graceMillis) {
        if (route.repeat().stream()) {
            return sinceMillis <= callerDrainMillis(graceMillis);
        }
        return sinceMillis + route.timeoutMillis() <= graceMillis - exitMarginMillis(graceMillis);
    }
}
