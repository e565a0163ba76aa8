package org.rattanrudder.core.fleet;

/**
 * Tracks whether connections to one target can be opened.
 *
 * <p>A machine without power doesn't respond to a dial at all, and a request that waits for one is late. Requests
 * therefore wait for a dial only as long as a healthy target needs, and an unreachable target gets no requests until a
 * dial without a request has succeeded.
 *
 * <p>All times are milliseconds of a monotonic clock.
 */
final class Reachability {
    /**
     * How long a dial may be pending before further requests are sent elsewhere. A healthy target accepts within some
     * ms; one without power never does, and all requests sent there meanwhile would wait until their dials time out.
     */
    private static final long SUSPECT_DIAL_MILLIS = 80;

    /** Delay between a failed dial and the next one; doubles with each consecutive failure. */
    private static final long INITIAL_RETRY_MILLIS = 250;

    private static final long MAX_RETRY_MILLIS = 2_000;
    private static final int MAX_DOUBLINGS = 3;

    /** A target that was dialled within this time isn't probed. */
    private static final long MIN_PROBE_INTERVAL_MILLIS = 500;

    private int pendingDials;
    private long lastDialAt = Long.MIN_VALUE / 2;
    private int consecutiveFailures;
    private boolean overdue;

    /** Records that a dial has started. */
    void onDialStarted(long nowMillis) {
        if (pendingDials == 0) {
            lastDialAt = nowMillis;
        }
        pendingDials++;
    }

    /** Records that a dial has succeeded or failed. */
    void onDialFinished(boolean opened, long nowMillis) {
        pendingDials--;
        lastDialAt = nowMillis;
        if (opened) {
            onReachable();
        } else {
            consecutiveFailures++;
        }
    }

    /** Records that a dial has taken longer than requests wait for one. */
    void onDialOverdue() {
        overdue = true;
    }

    /** Records that the target is reachable, whatever the outcome of dials. */
    void onReachable() {
        consecutiveFailures = 0;
        overdue = false;
    }

    /** Returns whether the last dial has failed. */
    boolean hasFailed() {
        return consecutiveFailures > 0;
    }

    /** Returns whether the last dial has failed or is overdue. */
    boolean isUnreachable() {
        return consecutiveFailures > 0 || overdue;
    }

    /** Returns whether requests should be sent elsewhere. */
    boolean isSuspect(long nowMillis) {
        return isUnreachable() || (pendingDials > 0 && nowMillis - lastDialAt > SUSPECT_DIAL_MILLIS);
    }

    /** Returns the delay between a failed dial and the next one. */
    long retryAfterMillis() {
        int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, consecutiveFailures - 1));
        return Math.min(MAX_RETRY_MILLIS, INITIAL_RETRY_MILLIS << doublings);
    }

    /** Returns whether to dial again: the target is unreachable, and no dial is pending. */
    boolean isRedialDue() {
        return isUnreachable() && pendingDials == 0;
    }

    /** Returns whether a probe would yield new information: no dial is pending, and the last one was not recent. */
    boolean isProbeUseful(long nowMillis) {
        return pendingDials == 0 && !isUnreachable() && nowMillis - lastDialAt >= MIN_PROBE_INTERVAL_MILLIS;
    }
}
