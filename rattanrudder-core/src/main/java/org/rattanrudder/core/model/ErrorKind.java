package org.rattanrudder.core.model;

import java.util.Locale;

/**
 * All kinds of errors, with the HTTP status, run state, retry advice and severity of each.
 *
 * <p>Every refusal or failure that is returned to a caller or operator or is logged is of one of these kinds.
 */
public enum ErrorKind {
    /** The body, the path or a header is malformed. */
    MALFORMED_REQUEST(400, RunState.NOT_RUN, RetryAdvice.NEVER, Severity.INFO),
    /** The credential is missing or unknown. */
    UNAUTHENTICATED(401, RunState.NOT_RUN, RetryAdvice.NEVER, Severity.INFO),
    /** The customer may not use the service or the request class. */
    FORBIDDEN(403, RunState.NOT_RUN, RetryAdvice.NEVER, Severity.INFO),
    /** There is no document for the service. */
    UNKNOWN_SERVICE(404, RunState.NOT_RUN, RetryAdvice.NEVER, Severity.INFO),
    /** The path is not served. */
    UNKNOWN_PATH(404, RunState.NOT_RUN, RetryAdvice.NEVER, Severity.INFO),
    /** The body was not received in time. */
    REQUEST_TIMEOUT(408, RunState.NOT_RUN, RetryAdvice.AT_ONCE, Severity.INFO),
    /** A request with the same idempotency key is running now. */
    KEY_IN_PROGRESS(409, RunState.UNKNOWN, RetryAdvice.LATER, Severity.INFO),
    /** The body is larger than the limit. */
    BODY_TOO_LARGE(413, RunState.NOT_RUN, RetryAdvice.NEVER, Severity.INFO),
    /** The idempotency key was used for another request. */
    KEY_REUSED(422, RunState.NOT_RUN, RetryAdvice.NEVER, Severity.WARN),
    /** The customer exceeds its share or rate limit. */
    CUSTOMER_OVER_SHARE(429, RunState.NOT_RUN, RetryAdvice.LATER, Severity.INFO),
    /** The headers are larger than the limit. */
    HEADERS_TOO_LARGE(431, RunState.NOT_RUN, RetryAdvice.NEVER, Severity.INFO),
    /** The request can no longer meet its deadline. */
    DEADLINE_UNREACHABLE(503, RunState.NOT_RUN, RetryAdvice.LATER, Severity.INFO),
    /** The queues are full. */
    OVERLOADED(503, RunState.NOT_RUN, RetryAdvice.LATER, Severity.WARN),
    /** No target of the service accepts work. */
    NO_TARGET(503, RunState.NOT_RUN, RetryAdvice.LATER, Severity.WARN),
    /** The process or target is draining. */
    DRAINING(503, RunState.NOT_RUN, RetryAdvice.AT_ONCE, Severity.INFO),
    /** The request needs the platform's log, which is unavailable. */
    LOG_UNAVAILABLE(503, RunState.NOT_RUN, RetryAdvice.LATER, Severity.WARN),
    /** The target serves another weight version than the one admitted. */
    VERSION_CHANGED(503, RunState.NOT_RUN, RetryAdvice.AT_ONCE, Severity.INFO),
    /** The attempt was addressed to another incarnation: the companion was restarted or never had the target. */
    STALE_INCARNATION(503, RunState.NOT_RUN, RetryAdvice.AT_ONCE, Severity.INFO),
    /** Several targets crashed while running this request; it is not sent to any other target for a while. */
    REQUEST_QUARANTINED(503, RunState.NOT_RUN, RetryAdvice.LATER, Severity.WARN),
    /** The request resumes a stream, and it isn't known which software began that: none can continue it. */
    STREAM_ORIGIN_UNKNOWN(503, RunState.NOT_RUN, RetryAdvice.LATER, Severity.INFO),
    /** The request resumes a stream, and no target that runs the software which began it accepts work. */
    STREAM_SOFTWARE_UNAVAILABLE(503, RunState.NOT_RUN, RetryAdvice.LATER, Severity.INFO),
    /** The target could not be reached; nothing was sent. */
    TARGET_UNREACHABLE(503, RunState.NOT_RUN, RetryAdvice.LATER, Severity.WARN),
    /** The target failed after the request was sent. */
    TARGET_FAILED(502, RunState.UNKNOWN, RetryAdvice.CALLER_DECIDES, Severity.WARN),
    /** The target made no progress in time after the request was sent. */
    TARGET_SILENT(504, RunState.UNKNOWN, RetryAdvice.CALLER_DECIDES, Severity.WARN),
    /** An earlier process claimed the key or the attempt, and the outcome can't be determined. */
    OUTCOME_UNKNOWN(502, RunState.UNKNOWN, RetryAdvice.CALLER_DECIDES, Severity.WARN),
    /** The caller closed the connection. */
    CANCELLED(499, RunState.UNKNOWN, RetryAdvice.CALLER_DECIDES, Severity.INFO),
    /** A configuration edit is based on a revision that is no longer current. */
    REVISION_CONFLICT(409, RunState.NOT_RUN, RetryAdvice.NEVER, Severity.INFO),
    /** A document fails validation. */
    INVALID_DOCUMENT(422, RunState.NOT_RUN, RetryAdvice.NEVER, Severity.INFO),
    /** An internal error. */
    INTERNAL(500, RunState.UNKNOWN, RetryAdvice.CALLER_DECIDES, Severity.ERROR);

    private final int status;
    private final RunState runState;
    private final RetryAdvice retryAdvice;
    private final Severity severity;

    ErrorKind(int status, RunState runState, RetryAdvice retryAdvice, Severity severity) {
        this.status = status;
        this.runState = runState;
        this.retryAdvice = retryAdvice;
        this.severity = severity;
    }

    /** Whether and when a caller should retry the request. */
    public enum RetryAdvice {
        /** The same request will fail again. */
        NEVER,
        /** The request may be retried at once; inside the system it is. */
        AT_ONCE,
        /** Retry after the time given in {@code Retry-After}. */
        LATER,
        /** The request may have run; only the caller knows whether a retry is safe. */
        CALLER_DECIDES
    }

    /** The level at which an event of this kind is logged. */
    public enum Severity {
        /** Expected in normal operation. */
        INFO,
        /** Needs an operator's attention if frequent. */
        WARN,
        /** An error of the system. */
        ERROR
    }

    /** Returns the HTTP status of the response. */
    public int status() {
        return status;
    }

    /** Returns whether the request is known not to have run. */
    public RunState runState() {
        return runState;
    }

    /** Returns whether and when to retry. */
    public RetryAdvice retryAdvice() {
        return retryAdvice;
    }

    /** Returns the level at which it is logged. */
    public Severity severity() {
        return severity;
    }

    /** Returns the name used in the error body, such as {@code no_target}. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
