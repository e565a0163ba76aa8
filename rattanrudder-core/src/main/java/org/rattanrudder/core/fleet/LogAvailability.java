package org.rattanrudder.core.fleet;

/**
 * Whether the log of registrations can be read, and has been for long enough to be complete.
 *
 * <p>All times are milliseconds of a monotonic clock.
 */
final class LogAvailability {
    /**
     * False at startup: a relay that has seen no outage must not delay removals that were made while the log was
     * available.
     */
    private boolean unavailable;

    private long recoveredAt = Long.MIN_VALUE / 2;

    void onUnavailable() {
        unavailable = true;
    }

    /** Handles a response of the log. Only the first one after an outage counts as the log's recovery. */
    void onAvailable(long nowMillis) {
        if (unavailable) {
            unavailable = false;
            recoveredAt = nowMillis;
        }
    }

    /** Returns whether targets that are alive have had time to register again after the last outage. */
    boolean isSettled(long nowMillis) {
        return !unavailable && nowMillis - recoveredAt >= Fleet.LOG_RECOVERY_GRACE_MILLIS;
    }
}
