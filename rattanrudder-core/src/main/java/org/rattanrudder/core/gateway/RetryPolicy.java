package org.rattanrudder.core.gateway;

import org.rattanrudder.core.model.ErrorKind;

/**
 * Decides whether a request whose attempt failed is sent to another target.
 *
 * <p>Two guarantees hold. A request that may run only once is sent again only if a target confirmed that it did not run
 * the request, or if none of it was sent. And the error that a caller gets is correct: it states that the request did
 * not run only if no attempt may have run.
 */
public final class RetryPolicy {
    /**
     * Maximum number of attempts per request that end without execution. A target that is full or down rejects within
     * milliseconds; after a few such attempts the whole service is likely to be in that state, and each further one
     * costs target capacity and retry budget.
     */
    public static final int MAX_UNEXECUTED_SENDS = 4;

    /** Minimum remaining time for which another attempt is worthwhile: a round trip and the fastest responses. */
    public static final long MIN_RETRY_MILLIS = 30;

    private RetryPolicy() {}

    /**
     * The state of a request when an attempt has failed.
     *
     * @param route its route
     * @param possibleRuns attempts that may have run, including the failed one
     * @param unexecutedSends attempts that certainly did not run, including the failed one
     * @param responseStarted whether a part of the response was sent to the caller
     * @param resumable whether another target can continue the response from what the caller has received
     * @param remainingMillis the time until its deadline
     */
    public record Progress(
            ServiceRoute route,
            int possibleRuns,
            int unexecutedSends,
            boolean responseStarted,
            boolean resumable,
            long remainingMillis) {}

    /** Returns whether the request may be sent to another target, subject to the retry budget. */
    public static boolean mayRetry(Progress progress, AttemptOutcome outcome) {
        if (progress.remainingMillis() < MIN_RETRY_MILLIS) {
            return false;
        }
        if (progress.responseStarted() && !progress.resumable()) {
            return false;
        }
        if (progress.possibleRuns() >= Math.max(1, progress.route().maxAttempts())) {
            return false;
        }
        if (outcome.mayHaveRun() || progress.possibleRuns() > 0) {
            return progress.route().repeat().repeatable();
        }
        return progress.unexecutedSends() < MAX_UNEXECUTED_SENDS;
    }

    /**
     * Returns the error that the caller gets when no further attempt is made and no response has started.
     *
     * @param possibleRuns attempts that may have run
     * @param outcome how the last attempt ended
     */
    public static ErrorKind finalError(int possibleRuns, AttemptOutcome outcome) {
        if (possibleRuns == 0) {
            return outcome == AttemptOutcome.REJECTED ? ErrorKind.OVERLOADED : ErrorKind.NO_TARGET;
        }
        boolean unanswered = outcome == AttemptOutcome.SILENT || outcome == AttemptOutcome.WITHDRAWN;
        return unanswered ? ErrorKind.TARGET_SILENT : ErrorKind.TARGET_FAILED;
    }
}
