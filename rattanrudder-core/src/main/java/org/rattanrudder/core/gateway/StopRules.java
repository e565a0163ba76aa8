package org.rattanrudder.core.gateway;

/**
 * Decides which requests a gateway still takes after it was asked to stop.
 *
 * <p>What it has taken must end before the process is ended by force. A plain request ends by its route's timeout at
 * the latest. A stream may run for many seconds, so that one is taken only while callers can't yet know that they
 * should go elsewhere.
 */
public final class StopRules {
    /**
     * How long callers come that can't know better, in ms: new connections come until two readiness checks were missed,
     * after 2 s at most. Streams are taken so long after the request to stop. After readiness was taken back, so long
     * everything is; requests that come later, on connections that were open before, are refused as not run.
     */
    public static final long CALLERS_LEAVE_MILLIS = 2_600;

    /** How long before the forced end all must have ended, in ms: the last answers leave, and the process ends. */
    public static final long END_MARGIN_MILLIS = 800;

    private StopRules() {}

    /**
     * Returns whether a request is taken.
     *
     * @param route its route
     * @param sinceMillis how long ago the gateway was asked to stop
     * @param graceMillis from the request to stop until the process is ended by force
     */
    public static boolean takes(ServiceRoute route, long sinceMillis, long graceMillis) {
        if (route.repeat().stream()) {
            return sinceMillis <= CALLERS_LEAVE_MILLIS;
        }
        return sinceMillis + route.timeoutMillis() <= graceMillis - END_MARGIN_MILLIS;
    }
}
