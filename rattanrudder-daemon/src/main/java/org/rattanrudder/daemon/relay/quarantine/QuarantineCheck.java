package org.rattanrudder.daemon.relay.quarantine;

import io.netty.handler.codec.http.HttpStatusClass;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongPredicate;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.core.gateway.AttemptOutcome;
import org.rattanrudder.core.quarantine.Cause;
import org.rattanrudder.core.quarantine.Feature;
import org.rattanrudder.core.quarantine.Quarantine;
import org.rattanrudder.core.quarantine.RequestFingerprint;
import org.rattanrudder.daemon.relay.process.RelayState;

/**
 * Checks one request against the quarantine.
 *
 * <p>Its features are computed only when the request fails or is answered, or while anything is quarantined.
 */
public final class QuarantineCheck {
    private final RelayState state;
    private final CrashDetector crashDetector;
    private final Consumer<Cause> trials;
    private final RequestFeatures request;

    /** Whether it may be sent although it is quarantined. */
    private boolean trial;

    /**
     * Creates a check of a request.
     *
     * @param trials asks for the trial of a quarantined cause; a later request with it may be sent
     * @param request its fingerprint and features
     */
    QuarantineCheck(RelayState state, CrashDetector crashDetector, Consumer<Cause> trials, RequestFeatures request) {
        this.state = state;
        this.crashDetector = crashDetector;
        this.trials = trials;
        this.request = request;
    }

    /** Returns the fingerprint, which is the same each time the request is sent for the same customer. */
    public RequestFingerprint fingerprint() {
        return request.fingerprint();
    }

    private List<Feature> features() {
        return request.features();
    }

    /**
     * Returns the remaining quarantine time in ms; empty if the request may be sent, be it to find out whether it still
     * crashes targets.
     */
    public OptionalLong remainingMillis() {
        Quarantine quarantine = state.quarantine();
        if (!quarantine.hasCauses() || trial) {
            return OptionalLong.empty();
        }
        long now = state.nowMillis();
        OptionalLong remaining = quarantine.remainingMillis(features(), now);
        if (remaining.isEmpty()) {
            return remaining;
        }
        trial = quarantine.takeTrial(features(), now);
        if (trial) {
            return OptionalLong.empty();
        }
        quarantine.causeToTry(features(), now).ifPresent(trials);
        return remaining;
    }

    /** Records that the request was sent: it isn't sent again as a trial. */
    public void onSent() {
        trial = false;
    }

    /** Returns what the request is refused for; empty if it isn't. */
    public String cause() {
        return state.quarantine().causeOf(features());
    }

    /**
     * Returns whether the attempt that has just failed may have caused the last crash before quarantine. At this point
     * it isn't known yet whether the target crashed.
     */
    public boolean mayHaveCausedLastCrash(AttemptOutcome outcome) {
        Quarantine quarantine = state.quarantine();
        return outcome == AttemptOutcome.BROKEN
                && !quarantine.isEmpty()
                && quarantine.isOneCrashFromQuarantine(features(), state.nowMillis());
    }

    /** Records that the connection to a target broke in the middle of an attempt that was sent at the given time. */
    public void onConnectionBroken(Target target, long sentAt) {
        crashDetector.onConnectionBroken(target, Set.copyOf(features()), state.nowMillis() - sentAt);
    }

    /**
     * Records a chunk of the response to the request that was sent at the given time.
     *
     * @param provesRunning returns once, given the time, whether the response shows that its target runs the request
     */
    public void onContent(long sentAt, LongPredicate provesRunning) {
        long now = state.nowMillis();
        if (provesRunning.test(now)) {
            state.quarantine().onRunning(features(), sentAt, now);
        }
    }

    /** Records that a target answered the request that was sent at the given time; only success shows that it ran. */
    public void onAnswered(long sentAt, int status) {
        if (HttpStatusClass.SUCCESS.contains(status)) {
            state.quarantine().onAnswered(features(), sentAt, state.nowMillis());
        }
    }
}
