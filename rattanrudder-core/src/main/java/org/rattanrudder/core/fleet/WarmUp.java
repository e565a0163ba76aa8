package org.rattanrudder.core.fleet;

/**
 * What a relay knows of the warm-up of one target, and from which evidence.
 *
 * <p>All times are milliseconds of a monotonic clock.
 */
final class WarmUp {
    /** Why a target is taken for warming up. */
    enum Evidence {
        /** The target has reported how long it still warms up. */
        REPORTED,
        /** A registration shows a start, and not how long the target warms up. */
        STARTED,
        /** Nothing listened at the target's address for a while; it may have restarted under the same id. */
        UNREACHABLE,
        /** The evacuation of its failure domain has ended. */
        EVACUATED
    }

    private static final long NEVER = Evacuations.NEVER;

    private long reportedAt = NEVER;
    private long reportedUntil = NEVER;
    private long startedAt = NEVER;
    private long reachableAgainAt = NEVER;

    /** Records how long the target says that it still warms up. */
    void onReported(long remainingMillis, long nowMillis) {
        reportedAt = nowMillis;
        reportedUntil = Math.max(reportedUntil, nowMillis + remainingMillis);
    }

    /** Records a start of the target. */
    void onStarted(long nowMillis) {
        startedAt = nowMillis;
    }

    /** Records that the target can be reached again after nothing listened at its address. */
    void onReachableAgain(long nowMillis) {
        reachableAgainAt = nowMillis;
    }

    /**
     * Returns when the target's warm-up ends. It is asked for each target at each placement, so it creates nothing.
     *
     * @param warmUpMillis how long targets of its service warm up
     * @param evacuationEndedAt when the last evacuation of its failure domain ended
     */
    long endsAt(long warmUpMillis, long evacuationEndedAt) {
        long newest = Math.max(Math.max(startedAt, reachableAgainAt), evacuationEndedAt);
        return Math.max(reportedUntil, newest + warmUpMillis);
    }

    /** Returns what shows the warm-up that ends last; see {@link #endsAt}. */
    Evidence evidence(long warmUpMillis, long evacuationEndedAt) {
        long ends = endsAt(warmUpMillis, evacuationEndedAt);
        if (ends == reportedUntil) {
            return Evidence.REPORTED;
        }
        if (ends == startedAt + warmUpMillis) {
            return Evidence.STARTED;
        }
        return ends == reachableAgainAt + warmUpMillis ? Evidence.UNREACHABLE : Evidence.EVACUATED;
    }

    /** Returns when the relay learned of what shows the warm-up that ends last. */
    long learnedAt(long warmUpMillis, long evacuationEndedAt) {
        return evidence(warmUpMillis, evacuationEndedAt) == Evidence.REPORTED
                ? reportedAt
                : endsAt(warmUpMillis, evacuationEndedAt) - warmUpMillis;
    }
}
