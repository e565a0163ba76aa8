package org.rattanrudder.daemon.relay;

import io.netty.buffer.ByteBuf;
import java.util.OptionalLong;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.core.gateway.AttemptOutcome;
import org.rattanrudder.core.quarantine.Quarantine;
import org.rattanrudder.core.quarantine.RequestFingerprint;

/**
 * Checks one request against the quarantine.
 *
 * <p>The fingerprint is computed only when the request fails or is answered, or while the quarantine has any record.
 */
final class QuarantineCheck {
    private final RelayState state;
    private final RequestPlan plan;
    private final String path;
    private final ByteBuf body;
    private RequestFingerprint fingerprint;

    /** Creates a check; doesn't take ownership of the body. */
    QuarantineCheck(RelayState state, RequestPlan plan, String path, ByteBuf body) {
        this.state = state;
        this.plan = plan;
        this.path = path;
        this.body = body;
    }

    /** Returns the fingerprint, which is the same each time the request is sent. */
    RequestFingerprint fingerprint() {
        if (fingerprint == null) {
            fingerprint = plan.fingerprint(path, body);
        }
        return fingerprint;
    }

    /** Returns the remaining quarantine time in ms; empty if the request may be sent. */
    OptionalLong remainingMillis() {
        Quarantine quarantine = state.quarantine();
        return quarantine.isEmpty()
                ? OptionalLong.empty()
                : quarantine.remainingMillis(fingerprint(), state.nowMillis());
    }

    /**
     * Returns whether the attempt that has just failed may have caused the last crash before quarantine. At this point
     * it isn't known yet whether the target crashed.
     */
    boolean mayHaveCausedLastCrash(AttemptOutcome outcome) {
        Quarantine quarantine = state.quarantine();
        return outcome == AttemptOutcome.BROKEN
                && !quarantine.isEmpty()
                && quarantine.isOneCrashFromQuarantine(fingerprint());
    }

    /** Records that the connection to a target broke in the middle of an attempt. */
    void onConnectionBroken(Target target) {
        state.crashDetector().onConnectionBroken(target, fingerprint());
    }

    /** Records that a target completed the request. */
    void onAnswered() {
        state.quarantine().onAnswered(fingerprint(), state.nowMillis());
    }
}
