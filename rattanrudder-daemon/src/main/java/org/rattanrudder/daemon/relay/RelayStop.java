package org.rattanrudder.daemon.relay;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.rattanrudder.core.gateway.ShutdownPolicy;

/**
 * The end of a relay that was asked to stop: it takes its readiness back, refuses what comes, and lets what runs end.
 *
 * <p>Owned by the event loop, but for {@link #await}.
 */
final class RelayStop {
    private static final long STAY_STEP_MILLIS = 200;

    private final RelayState state;
    private final Set<CallerConnection> callers;
    private final Runnable sweep;
    private final CountDownLatch drained = new CountDownLatch(1);
    private volatile boolean finishedInTime;

    /**
     * Makes the end of a relay that runs.
     *
     * @param callers its callers' connections
     * @param sweep looks at all connections at once
     */
    RelayStop(RelayState state, Set<CallerConnection> callers, Runnable sweep) {
        this.state = state;
        this.callers = callers;
        this.sweep = sweep;
    }

    /** The process was asked to stop. */
    void begin() {
        state.stop();
        leave();
    }

    /** Takes readiness back, unless no other relay is ready and there is time to wait for one. */
    private void leave() {
        long waited = state.nowMillis() - state.stoppingSince();
        if (waited < ShutdownPolicy.readinessHoldMillis(graceMillis())
                && !state.fleet().anyPeerReady(state.nowMillis())) {
            state.loop().schedule(this::leave, STAY_STEP_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        state.drain();
        state.log().info("leaving", "after_ms", Long.toString(waited));
        state.loop().schedule(sweep, ShutdownPolicy.callerDrainMillis(graceMillis()) + 1, TimeUnit.MILLISECONDS);
        long untilEnd = graceMillis() - ShutdownPolicy.exitMarginMillis(graceMillis()) - waited;
        state.loop().schedule(sweep, untilEnd + 1, TimeUnit.MILLISECONDS);
    }

    /** Ends the process if nothing runs any more, or no time is left. */
    void look(long now) {
        if (!state.isDraining()) {
            return;
        }
        long since = now - state.stoppingSince();
        boolean busy = callers.stream().anyMatch(CallerConnection::isBusy);
        boolean quiet = state.isRefusingRequests() && !busy;
        boolean late = since > graceMillis() - ShutdownPolicy.exitMarginMillis(graceMillis());
        if (quiet || late) {
            finishedInTime = !busy;
            // A caller that is told nothing waits for its own time limit, and can't know whether to come back.
            List.copyOf(callers).forEach(CallerConnection::onShutdown);
            drained.countDown();
        }
    }

    /** Waits for the end; returns whether all that ran had ended by then. */
    boolean await() throws InterruptedException {
        long graceMillis = state.settings().bounds().graceMillis();
        return drained.await(graceMillis, TimeUnit.MILLISECONDS) && finishedInTime;
    }

    private long graceMillis() {
        return state.graceMillis();
    }
}
