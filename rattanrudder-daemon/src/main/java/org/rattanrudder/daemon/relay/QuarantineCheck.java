package org.rattanrudder.daemon.relay;

import io.netty.buffer.ByteBuf;
import java.util.OptionalLong;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.core.gateway.AttemptOutcome;
import org.rattanrudder.core.quarantine.Quarantine;
import org.rattanrudder.core.quarantine.RequestFingerprint;

/**
 * What is held against one request.
 *
 * <p>Its fingerprint is worked out only when it is answered, or while something is held against any request.
 */
final class QuarantineCheck {
    private final RelayState state;
    private final RequestPlan plan;
    private final String path;
    private final ByteBuf body;
    private RequestFingerprint fingerprint;

    /** Makes the check of a request, whose body isn't taken over. */
    QuarantineCheck(RelayState state, RequestPlan plan, String path, ByteBuf body) {
        this.state = state;
        this.plan = plan;
        this.path = path;
        this.body = body;
    }

    /** Returns what is the same whenever the request comes. */
    RequestFingerprint fingerprint() {
        if (fingerprint == null) {
            fingerprint = plan.fingerprint(path, body);
        }
        return fingerprint;
    }

    /** Returns for how much longer the request is sent to no target, in ms; empty if it may be sent. */
    OptionalLong leftMillis() {
        Quarantine quarantine = state.quarantine();
        return quarantine.isEmpty()
                ? OptionalLong.empty()
                : quarantine.remainingMillis(fingerprint(), state.nowMillis());
    }

    /**
     * Returns whether the attempt that has just failed may have ended the last target that the request may end. Whether
     * the target is gone isn't known yet.
     */
    boolean mayHaveBeenLast(AttemptOutcome outcome) {
        Quarantine quarantine = state.quarantine();
        return outcome == AttemptOutcome.BROKEN
                && !quarantine.isEmpty()
                && quarantine.isOneCrashFromQuarantine(fingerprint());
    }

    /** Notes that the connection to a target broke in the middle of an attempt. */
    void broken(Target target) {
        state.crashDetector().broken(target, fingerprint());
    }

    /** Notes that a target has answered. */
    void answered() {
        state.quarantine().onAnswered(fingerprint(), state.nowMillis());
    }
}
