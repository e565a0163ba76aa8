package org.rattanrudder.daemon.relay.serving;

import java.util.OptionalLong;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.daemon.relay.process.RelayState;

/** Tells the caller of one request that it was not served, and when to come back. */
final class FinalReply {
    private final RelayState state;
    private final ResponseWriter writer;
    private final RequestPlan plan;

    FinalReply(RelayState state, ResponseWriter writer, RequestPlan plan) {
        this.state = state;
        this.writer = writer;
        this.plan = plan;
    }

    /**
     * How a request ended, for log and metrics.
     *
     * @param outcome a status, the name of an error, or another fixed word
     * @param reason what led to it
     */
    record Ending(String outcome, String reason) {}

    /** Replies with an error. While all targets want rest, the reply says when the first of them has rested. */
    Ending fail(ErrorKind error, String reason) {
        boolean overloaded = error == ErrorKind.OVERLOADED
                || error == ErrorKind.NO_TARGET
                || error == ErrorKind.STREAM_SOFTWARE_UNAVAILABLE;
        OptionalLong afterRest = overloaded ? plan.retryAfterRestMillis(state.nowMillis()) : OptionalLong.empty();
        if (afterRest.isPresent()) {
            return failUntil(ErrorKind.OVERLOADED, "all targets want rest", afterRest.getAsLong());
        }
        writer.error(error, plan.id(), plan.remainingMillis());
        return new Ending(error.wireName(), reason);
    }

    /** Replies with an error that asks the caller to retry after the given time, regardless of its deadline. */
    Ending failUntil(ErrorKind error, String reason, long retryAfterMillis) {
        writer.errorWithRetryAfter(error, plan.id(), retryAfterMillis);
        return new Ending(error.wireName(), reason);
    }

    /**
     * Ends a request that is quarantined.
     *
     * @param begun whether its response has begun
     * @param mayHaveRun whether a target may have run it
     * @param leftMillis how long the quarantine lasts
     */
    Ending quarantined(boolean begun, boolean mayHaveRun, String reason, long leftMillis) {
        if (begun) {
            return abort(reason);
        }
        return mayHaveRun
                ? fail(ErrorKind.TARGET_FAILED, reason)
                : failUntil(ErrorKind.REQUEST_QUARANTINED, reason, leftMillis);
    }

    /**
     * Ends a request that no target may be sent now.
     *
     * @param begun whether its response has begun
     * @param mayHaveRun whether a target may have run it
     * @param hasCandidate whether any target may run it later
     */
    Ending unplaceable(boolean begun, boolean mayHaveRun, boolean hasCandidate) {
        if (begun) {
            return abort(plan.binding().hasBegun() ? "no target of its software" : "no target");
        }
        if (mayHaveRun) {
            return fail(ErrorKind.TARGET_FAILED, "no target");
        }
        return hasCandidate
                ? fail(ErrorKind.OVERLOADED, "no target may take it")
                : fail(plan.noTargetError(), "no target");
    }

    /** Ends a response that has begun and can't be completed. */
    Ending abort(String reason) {
        writer.abort();
        return new Ending("broken_off", reason);
    }
}
