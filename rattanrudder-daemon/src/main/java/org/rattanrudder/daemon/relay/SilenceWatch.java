package org.rattanrudder.daemon.relay;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.rattanrudder.core.gateway.Patience;
import org.rattanrudder.core.gateway.ServiceRoute;

/**
 * Watches one attempt for silence, before the first byte and between pieces.
 *
 * <p>It only watches requests that may run more than once: nothing could be done about the others.
 */
final class SilenceWatch {
    private final RelayState state;
    private final ServiceRoute route;
    private final TargetAttempt attempt;
    private final LongConsumer silent;
    private ScheduledFuture<?> next;

    /**
     * Makes a watch; it begins with {@link #look}.
     *
     * @param silent told once, with the length of the silence in ms, when another target could do better
     */
    SilenceWatch(RelayState state, ServiceRoute route, TargetAttempt attempt, LongConsumer silent) {
        this.state = state;
        this.route = route;
        this.attempt = attempt;
        this.silent = silent;
    }

    /** Looks now, and again whenever the target could have been silent for too long. */
    void look() {
        if (!route.repeat().repeatable()) {
            return;
        }
        long quiet = state.now() - attempt.lastPieceAt();
        long limit = Patience.millis(route, attempt.hasBegun());
        if (quiet < limit) {
            lookAfter(limit - quiet + 1);
            return;
        }
        boolean servesOthers = attempt.target().lastSignAt() > attempt.lastPieceAt();
        if (Patience.goesOn(route, attempt.hasBegun(), quiet, servesOthers)) {
            lookAfter(limit);
            return;
        }
        silent.accept(quiet);
    }

    private void lookAfter(long millis) {
        next = state.loop().schedule(this::look, millis, TimeUnit.MILLISECONDS);
    }

    /** Looks no more. */
    void stop() {
        if (next != null) {
            next.cancel(false);
        }
    }
}
