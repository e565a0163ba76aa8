package org.rattanrudder.daemon.relay.process;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.rattanrudder.core.gateway.ShutdownPolicy;

/**
 * Shuts a relay down gracefully: withdraws its readiness, then refuses new requests and lets running ones finish.
 *
 * <p>The process ends once its callers are owed nothing. Near the end of the grace period, callers that still wait get
 * a final response, and at its very end responses that aren't sent in full are cut.
 *
 * <p>Confined to the event loop, except for {@link #await}.
 */
public final class GracefulShutdown {
    private static final long READINESS_CHECK_INTERVAL_MILLIS = 200;
    private static final long FINISH_CHECK_INTERVAL_MILLIS = 50;

    private final RelayState state;
    private final Callers callers;
    private final Runnable stopListening;
    private final CountDownLatch drained = new CountDownLatch(1);
    private boolean endedAny;
    private volatile boolean finishedInTime;

    /** The connections of callers. */
    public interface Callers {
        /** Refuses requests that wait for a target and aren't known to end before the process does. */
        void refuseQueued();

        /** Closes connections whose callers are owed nothing. */
        void closeIdle();

        /** Returns whether a caller is owed anything. */
        boolean areOwed();

        /** Gives callers whose responses haven't begun a final one; returns how many. */
        long endRequests();

        /** Cuts what isn't sent in full, so that it doesn't look complete; returns how many responses were cut. */
        long cut();
    }

    /**
     * Creates the shutdown of a running relay.
     *
     * @param stopListening ends the opening of new connections; may run more than once
     */
    public GracefulShutdown(RelayState state, Callers callers, Runnable stopListening) {
        this.state = state;
        this.callers = callers;
        this.stopListening = stopListening;
    }

    /** Starts the shutdown. */
    public void start() {
        state.startStopping();
        withdrawReadiness();
        checkUntilFinished();
    }

    /** Withdraws readiness, unless no peer is ready and there is still time to wait for one. */
    private void withdrawReadiness() {
        long waited = state.nowMillis() - state.stoppingSince();
        if (waited < ShutdownPolicy.readinessHoldMillis(state.graceMillis())
                && !state.fleet().anyPeerReady(state.nowMillis())) {
            state.loop().schedule(this::withdrawReadiness, READINESS_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        state.startDraining();
        state.log().info("leaving", "after_ms", Long.toString(waited));
    }

    private void checkUntilFinished() {
        if (drained.getCount() > 0) {
            // Scheduled first: a check that fails isn't the last one.
            state.loop().schedule(this::checkUntilFinished, FINISH_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            check();
        }
    }

    /** Completes the shutdown if callers are owed nothing or no time is left. */
    private void check() {
        callers.refuseQueued();
        if (!state.isRefusingRequests()) {
            return;
        }
        stopListening.run();
        callers.closeIdle();
        long grace = state.graceMillis();
        long left = grace - (state.nowMillis() - state.stoppingSince());
        if (left < ShutdownPolicy.exitMarginMillis(grace)) {
            // Without an answer, a caller would wait for its own timeout and couldn't know whether to retry.
            endedAny |= callers.endRequests() > 0;
        }
        boolean last = left < ShutdownPolicy.cutMarginMillis(grace);
        if (last) {
            endedAny |= callers.cut() > 0;
        }
        if (last || !callers.areOwed()) {
            finishedInTime = !endedAny;
            drained.countDown();
        }
    }

    /** Waits until the shutdown is complete; returns whether all requests had finished by then. */
    public boolean await() throws InterruptedException {
        long graceMillis = state.settings().bounds().graceMillis();
        return drained.await(graceMillis, TimeUnit.MILLISECONDS) && finishedInTime;
    }
}
