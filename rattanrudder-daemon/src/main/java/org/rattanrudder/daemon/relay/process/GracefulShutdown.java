package org.rattanrudder.daemon.relay.process;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.rattanrudder.core.gateway.ShutdownPolicy;

/**
 * Shuts a relay down gracefully: withdraws its readiness, then refuses new requests and lets running ones finish.
 *
 * <p>Confined to the event loop, except for {@link #await}.
 */
public final class GracefulShutdown {
    private static final long READINESS_CHECK_INTERVAL_MILLIS = 200;

    private final RelayState state;
    private final BooleanSupplier busy;
    private final Runnable endRequests;
    private final Runnable sweep;
    private final CountDownLatch drained = new CountDownLatch(1);
    private volatile boolean finishedInTime;

    /**
     * Creates the shutdown of a running relay.
     *
     * @param busy returns whether a request is running
     * @param endRequests gives the callers of running requests a final response
     * @param sweep checks all connections immediately
     */
    public GracefulShutdown(RelayState state, BooleanSupplier busy, Runnable endRequests, Runnable sweep) {
        this.state = state;
        this.busy = busy;
        this.endRequests = endRequests;
        this.sweep = sweep;
    }

    /** Starts the shutdown. */
    public void start() {
        state.startStopping();
        withdrawReadiness();
    }

    /** Withdraws readiness, unless no peer is ready and there is still time to wait for one. */
    private void withdrawReadiness() {
        long waited = state.nowMillis() - state.stoppingSince();
        if (waited < ShutdownPolicy.readinessHoldMillis(graceMillis())
                && !state.fleet().anyPeerReady(state.nowMillis())) {
            state.loop().schedule(this::withdrawReadiness, READINESS_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        state.startDraining();
        state.log().info("leaving", "after_ms", Long.toString(waited));
        state.loop().schedule(sweep, ShutdownPolicy.callerDrainMillis(graceMillis()) + 1, TimeUnit.MILLISECONDS);
        long untilEnd = graceMillis() - ShutdownPolicy.exitMarginMillis(graceMillis()) - waited;
        state.loop().schedule(sweep, untilEnd + 1, TimeUnit.MILLISECONDS);
    }

    /** Completes the shutdown if no request is running or no time is left. */
    public void checkFinished(long now) {
        if (!state.isDraining()) {
            return;
        }
        long since = now - state.stoppingSince();
        boolean isBusy = busy.getAsBoolean();
        boolean quiet = state.isRefusingRequests() && !isBusy;
        boolean late = since > graceMillis() - ShutdownPolicy.exitMarginMillis(graceMillis());
        if (quiet || late) {
            finishedInTime = !isBusy;
            // Without an answer, a caller would wait for its own timeout and couldn't know whether to retry.
            endRequests.run();
            drained.countDown();
        }
    }

    /** Waits for the shutdown to complete; returns whether all requests had finished by then. */
    public boolean await() throws InterruptedException {
        long graceMillis = state.settings().bounds().graceMillis();
        return drained.await(graceMillis, TimeUnit.MILLISECONDS) && finishedInTime;
    }

    private long graceMillis() {
        return state.graceMillis();
    }
}
