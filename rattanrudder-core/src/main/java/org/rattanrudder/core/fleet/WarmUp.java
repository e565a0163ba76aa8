package org.rattanrudder.core.fleet;

import java.util.OptionalLong;
import org.rattanrudder.core.gateway.WarmUpTraits;

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

    private static final long NEVER = Long.MIN_VALUE / 2;

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
     * Returns the warm-up that ends last.
     *
     * @param traits how long targets of its service warm up
     * @param evacuationEndedAt when the last evacuation of its failure domain ended; empty if there was none
     */
    State state(WarmUpTraits traits, OptionalLong evacuationEndedAt) {
        State latest = new State(Evidence.REPORTED, reportedAt, reportedUntil);
        latest = latest.orLater(Evidence.STARTED, startedAt, traits);
        latest = latest.orLater(Evidence.UNREACHABLE, reachableAgainAt, traits);
        return latest.orLater(Evidence.EVACUATED, evacuationEndedAt.orElse(NEVER), traits);
    }

    /**
     * A warm-up.
     *
     * @param evidence what shows it
     * @param sinceMillis when the relay learned of it
     * @param untilMillis when it ends
     */
    record State(Evidence evidence, long sinceMillis, long untilMillis) {
        boolean isWarmingUp(long nowMillis) {
            return nowMillis < untilMillis;
        }

        private State orLater(Evidence other, long since, WarmUpTraits traits) {
            long until = since == NEVER ? NEVER : since + traits.millis();
            return until > untilMillis ? new State(other, since, until) : this;
        }
    }
}
