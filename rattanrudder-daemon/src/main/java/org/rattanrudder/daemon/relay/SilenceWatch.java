package org.rattanrudder.daemon.relay;

import java.util.function.LongConsumer;
import org.rattanrudder.core.gateway.ResponseTimeouts;
import org.rattanrudder.core.gateway.ServiceRoute;

/**
 * Watches one attempt for silence, before the first byte and between pieces.
 *
 * <p>A target that is silent is dialled anew: one that is gone shows by it within a tenth of a second, in place of some
 * seconds. Only requests that may run more than once go elsewhere then; for the others nothing can be done, but the
 * next ones are spared the target.
 */
final class SilenceWatch {
    private final RelayState state;
    private final ServiceRoute route;
    private final TargetAttempt attempt;
    private final Runnable suspect;
    private final LongConsumer tooLong;
    private InactivityTimer next;
    private boolean stopped;

    /**
     * Makes a watch; it begins with {@link #look}.
     *
     * @param suspect told when nothing has come from the target for a while, so that it may be gone
     * @param tooLong told, with the length of the silence in ms, when another target could do better; and again until
     *     this one is left
     */
    SilenceWatch(RelayState state, ServiceRoute route, TargetAttempt attempt, Runnable suspect, LongConsumer tooLong) {
        this.state = state;
        this.route = route;
        this.attempt = attempt;
        this.suspect = suspect;
        this.tooLong = tooLong;
    }

    /** Looks now, and again whenever the target could have been silent for too long. */
    void look() {
        long quiet = state.nowMillis() - attempt.lastPieceAt();
        boolean gone = attempt.target().isUnreachable();
        long limit = ResponseTimeouts.timeoutMillis(route, attempt.hasBegun(), gone);
        boolean servesOthers = attempt.target().lastActivityAt() > attempt.lastPieceAt();
        if (quiet >= limit && mayGoElsewhere(quiet, servesOthers)) {
            tooLong.accept(quiet);
        }
        long suspicious = ResponseTimeouts.probeAfterMillis(route, attempt.hasBegun());
        if (!stopped && quiet >= suspicious && !servesOthers) {
            suspect.run();
        }
        lookAfter(quiet < suspicious ? suspicious - quiet + 1 : suspicious);
    }

    private boolean mayGoElsewhere(long quiet, boolean servesOthers) {
        return route.repeat().repeatable()
                && !ResponseTimeouts.keepsWaiting(route, attempt.hasBegun(), quiet, servesOthers);
    }

    private void lookAfter(long millis) {
        if (stopped) {
            return;
        }
        next = InactivityTimer.start(state.loop(), this::look, millis);
    }

    /** Looks no more. */
    void stop() {
        stopped = true;
        if (next != null) {
            next.cancel();
        }
    }
}
