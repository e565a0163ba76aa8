package org.rattanrudder.core.model;

import java.util.Locale;

/**
 * The closed list of error kinds, with the table from kind to answer.
 *
 * <p>Every refusal or failure that a caller, an operator or a log line sees is one of these.
 */
public enum ErrorKind {
    /** The body, path or a header can't be read as a request. */
    MALFORMED_REQUEST(400, RunState.NOT_RUN, RetryAdvice.NEVER, Severity.INFO),
    /** No known credential was given. */
    UNAUTHENTICATED(401, RunState.NOT_RUN, RetryAdvice.NEVER, Severity.INFO),
    /** The customer may not use the service or the request class. */
    FORBIDDEN(403, RunState.NOT_RUN, RetryAdvice.NEVER, Severity.INFO),
    /** No document describes the service. */
    UNKNOWN_SERVICE(404, RunState.NOT_RUN, RetryAdvice.NEVER, Severity.INFO),
    /** The path is none that is served. */
    UNKNOWN_PATH(404, RunState.NOT_RUN, RetryAdvice.NEVER, Severity.INFO),
    /** The body didn't arrive in time. */
    REQUEST_TIMEOUT(408, RunState.NOT_RUN, RetryAdvice.AT_ONCE, Severity.INFO),
    /** A request with the same idempotency key is running now. */
    KEY_IN_PROGRESS(409, RunState.UNKNOWN, RetryAdvice.LATER, Severity.INFO),
    /** The body is larger than the limit. */
    BODY_TOO_LARGE(413, RunState.NOT_RUN, RetryAdvice.NEVER, Severity.INFO),
    /** The idempotency key was used for another request. */
    KEY_REUSED(422, RunState.NOT_RUN, RetryAdvice.NEVER, Severity.WARN),
    /** The customer is over its share or rate. */
    CUSTOMER_OVER_SHARE(429, RunState.NOT_RUN, RetryAdvice.LATER, Severity.INFO),
    /** The headers are larger than the limit. */
    HEADERS_TOO_LARGE(431, RunState.NOT_RUN, RetryAdvice.NEVER, Severity.INFO),
    /** The request can't meet its deadline any more. */
    DEADLINE_UNREACHABLE(503, RunState.NOT_RUN, RetryAdvice.LATER, Severity.INFO),
    /** Queues are full. */
    OVERLOADED(503, RunState.NOT_RUN, RetryAdvice.LATER, Severity.WARN),
    /** No target of the service accepts work. */
    NO_TARGET(503, RunState.NOT_RUN, RetryAdvice.LATER, Severity.WARN),
    /** The process or target is leaving. */
    DRAINING(503, RunState.NOT_RUN, RetryAdvice.AT_ONCE, Severity.INFO),
    /** The platform's log is needed for this request and doesn't answer. */
    LOG_UNAVAILABLE(503, RunState.NOT_RUN, RetryAdvice.LATER, Severity.WARN),
    /** The target serves another weight version than the one admitted. */
    VERSION_CHANGED(503, RunState.NOT_RUN, RetryAdvice.AT_ONCE, Severity.INFO),
    /** The companion no longer knows the attempt's addressee: it was restarted or never held the target. */
    STALE_INCARNATION(503, RunState.NOT_RUN, RetryAdvice.AT_ONCE, Severity.INFO),
    /** Several targets ended while they ran this very request; it is sent to no further ones for a while. */
    REQUEST_QUARANTINED(503, RunState.NOT_RUN, RetryAdvice.LATER, Severity.WARN),
    /** The target couldn't be reached: nothing was sent. */
    TARGET_UNREACHABLE(503, RunState.NOT_RUN, RetryAdvice.LATER, Severity.WARN),
    /** The target failed after the request was sent. */
    TARGET_FAILED(502, RunState.UNKNOWN, RetryAdvice.CALLER_DECIDES, Severity.WARN),
    /** The target made no progress in time after the request was sent. */
    TARGET_SILENT(504, RunState.UNKNOWN, RetryAdvice.CALLER_DECIDES, Severity.WARN),
    /** An earlier process claimed the key or the attempt, and its outcome can't be learnt. */
    OUTCOME_UNKNOWN(502, RunState.UNKNOWN, RetryAdvice.CALLER_DECIDES, Severity.WARN),
    /** The caller went away. */
    CANCELLED(499, RunState.UNKNOWN, RetryAdvice.CALLER_DECIDES, Severity.INFO),
    /** A configuration edit was made from a revision that is no longer current. */
    REVISION_CONFLICT(409, RunState.NOT_RUN, RetryAdvice.NEVER, Severity.INFO),
    /** A document fails its checks. */
    INVALID_DOCUMENT(422, RunState.NOT_RUN, RetryAdvice.NEVER, Severity.INFO),
    /** A fault of ours. */
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

    /** Whether and when a caller should repeat the request. */
    public enum RetryAdvice {
        /** The same request will fail again. */
        NEVER,
        /** Another try may go at once; inside the system it does. */
        AT_ONCE,
        /** Come back after the time in {@code Retry-After}. */
        LATER,
        /** It may have run: only the caller knows whether a repeat is safe. */
        CALLER_DECIDES
    }

    /** The level at which an event of this kind is logged. */
    public enum Severity {
        /** Expected in ordinary work. */
        INFO,
        /** Worth an operator's look when frequent. */
        WARN,
        /** A fault of the system. */
        ERROR
    }

    /** Returns the HTTP status of the answer. */
    public int status() {
        return status;
    }

    /** Returns whether the request is known not to have run. */
    public RunState runState() {
        return runState;
    }

    /** Returns whether and when to repeat. */
    public RetryAdvice retryAdvice() {
        return retryAdvice;
    }

    /** Returns the level at which it is logged. */
    public Severity severity() {
        return severity;
    }

    /** Returns the word that callers see in the error body, such as {@code no_target}. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
