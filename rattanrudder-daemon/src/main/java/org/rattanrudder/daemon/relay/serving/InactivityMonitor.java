package org.rattanrudder.daemon.relay.serving;

import java.util.function.LongConsumer;
import org.rattanrudder.core.gateway.ResponseTimeouts;
import org.rattanrudder.core.gateway.ServiceRoute;
import org.rattanrudder.daemon.relay.net.InactivityTimer;
import org.rattanrudder.daemon.relay.process.RelayState;

/**
 * Detects inactivity of one attempt, before the first byte and between chunks.
 *
 * <p>An inactive target is dialed: a crashed one is detected that way within a tenth of a second instead of some
 * seconds. Only requests that may run more than once are then retried on another target; for the others nothing can be
 * done, but later requests avoid the target.
 */
final class InactivityMonitor {
    private final RelayState state;
    private final ServiceRoute route;
    private final TargetAttempt attempt;
    private final Runnable probe;
    private final LongConsumer onTimeout;
    private InactivityTimer timer;
    private boolean stopped;

    /**
     * Creates a monitor; {@link #check} starts it.
     *
     * @param probe runs when the target has been inactive for a while and may have crashed
     * @param onTimeout receives the inactive time in ms when another target could be faster; called repeatedly until
     *     the attempt is abandoned
     */
    InactivityMonitor(
            RelayState state, ServiceRoute route, TargetAttempt attempt, Runnable probe, LongConsumer onTimeout) {
        this.state = state;
        this.route = route;
        this.attempt = attempt;
        this.probe = probe;
        this.onTimeout = onTimeout;
    }

    /** Checks now, and schedules the next check for when the target may have been inactive for too long. */
    void check() {
        long idleMillis = state.nowMillis() - attempt.lastContentAt();
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
        scheduleCheck(idleMillis < probeAfterMillis ? probeAfterMillis - idleMillis + 1 : probeAfterMillis);
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
