package org.rattanrudder.daemon.relay.serving;

import java.util.function.LongConsumer;
import org.rattanrudder.core.gateway.ResponseTimeouts;
import org.rattanrudder.core.gateway.ServiceRoute;
import org.rattanrudder.daemon.relay.net.InactivityTimer;
import org.rattanrudder.daemon.relay.process.RelayState;

/**
 * Detects inactivity of one attempt, before the first byte and between chunks, and that it may no longer begin.
 *
 * <p>An inactive target is dialed: a crashed one is detected that way within a tenth of a second instead of some
 * seconds. Only requests that may run more than once are then retried on another target; for the others nothing can be
 * done, but later requests avoid the target.
 */
final class InactivityMonitor {
    /** Half the time that the bound leaves for a late event loop. */
    private static final long BOUND_CHECK_MILLIS = 250;

    /** More than any bound: nothing ends the time in which the attempt may begin. */
    private static final long LONG_MILLIS = Long.MAX_VALUE / 2;

    private final RelayState state;
    private final RequestPlan plan;
    private final ServiceRoute route;
    private final TargetAttempt attempt;
    private final Runnable probe;
    private final LongConsumer onTimeout;
    private final Runnable onTooLate;
    private InactivityTimer timer;
    private long inactivityCheckDueAt = Long.MIN_VALUE;
    private boolean stopped;

    /**
     * Creates a monitor; {@link #check} starts it.
     *
     * @param onTimeout receives the inactive time in ms when another target could be faster; called repeatedly until
     *     the attempt is abandoned
     * @param onTooLate runs when the attempt hasn't begun and its target's weights have become too old to begin on
     */
    InactivityMonitor(
            ServingComponents components,
            RequestPlan plan,
            TargetAttempt attempt,
            LongConsumer onTimeout,
            Runnable onTooLate) {
        state = components.state();
        this.plan = plan;
        route = plan.route();
        this.attempt = attempt;
        probe = () -> components.pools().verify(attempt.target());
        this.onTimeout = onTimeout;
        this.onTooLate = onTooLate;
    }

    /** Checks now, and schedules the next check for when the target may have been inactive for too long. */
    void check() {
        if (beginsWithinMillis() <= 0) {
            onTooLate.run();
            return;
        }
        long now = state.nowMillis();
        if (now >= inactivityCheckDueAt) {
            checkInactivity(now);
        }
        scheduleCheck(Math.min(inactivityCheckDueAt - now, boundCheckMillis()));
    }

    /** Returns how long the attempt may still take to begin; far away if it has begun, or nothing ends that time. */
    private long beginsWithinMillis() {
        return attempt.hasBegun() ? Long.MAX_VALUE : plan.beginsUntil(attempt.weights()) - state.atMostMillis();
    }

    /** Timers don't count what may only have been a suspension; the bound does, so it is looked at now and then. */
    private long boundCheckMillis() {
        long beginsWithin = beginsWithinMillis();
        return beginsWithin < LONG_MILLIS ? Math.min(beginsWithin, BOUND_CHECK_MILLIS) : LONG_MILLIS;
    }

    private void checkInactivity(long now) {
        long idleMillis = now - attempt.lastContentAt();
        boolean unreachable = attempt.target().isUnreachable();
        long timeoutMillis = ResponseTimeouts.timeoutMillis(route, attempt.hasBegun(), unreachable);
        boolean servesOtherRequests = attempt.target().lastActivityAt() > attempt.lastContentAt();
        if (idleMillis >= timeoutMillis && mayRetryElsewhere(idleMillis, servesOtherRequests)) {
            onTimeout.accept(idleMillis);
        }
        long probeAfterMillis = ResponseTimeouts.probeAfterMillis(route, attempt.hasBegun());
        if (!stopped && idleMillis >= probeAfterMillis && !servesOtherRequests) {
            probe.run();
        }
        long nextMillis = idleMillis < probeAfterMillis ? probeAfterMillis - idleMillis + 1 : probeAfterMillis;
        inactivityCheckDueAt = now + nextMillis;
    }

    private boolean mayRetryElsewhere(long idleMillis, boolean servesOtherRequests) {
        return route.repeat().repeatable()
                && !ResponseTimeouts.keepsWaiting(route, attempt.hasBegun(), idleMillis, servesOtherRequests);
    }

    private void scheduleCheck(long millis) {
        if (stopped) {
            return;
        }
        timer = InactivityTimer.start(state.loop(), this::check, millis);
    }

    /** Stops the checks. */
    void stop() {
        stopped = true;
        if (timer != null) {
            timer.cancel();
        }
    }
}
