package org.rattanrudder.core.gateway;

import org.rattanrudder.core.model.ErrorKind;

/**
 * Decides whether a request whose attempt failed goes to another target.
 *
 * <p>Two promises meet here. A request that may run only once is sent again only after a target said that it didn't run
 * it, or if nothing of it had left. And what callers are told of the end is true: "not run" is said only if no attempt
 * may have run.
 */
public final class RetryPolicy {
    /**
     * Sends that end without a run, at most, for one request. A target that is full or gone says so in milliseconds;
     * more tries than a few mean that the whole service is, and each costs targets and the retry budget.
     */
    public static final int MAX_UNEXECUTED_SENDS = 4;

    /** Time left below which no further attempt is worth its cost, in ms: a round trip and the shortest answers. */
    public static final long MIN_RETRY_MILLIS = 30;

    private RetryPolicy() {}

    /**
     * What is known of a request when an attempt has failed.
     *
     * @param route its route
     * @param possibleRuns attempts that may have run, the failed one included
     * @param unexecutedSends attempts that surely did not run, the failed one included
     * @param responseStarted whether something of an answer has gone to the caller
     * @param resumable whether what the caller has can be continued by another target
     * @param remainingMillis the time until its deadline
     */
    public record Progress(
            ServiceRoute route,
            int possibleRuns,
            int unexecutedSends,
            boolean responseStarted,
            boolean resumable,
            long remainingMillis) {}

    /** Returns whether the request may go to another target, if the retry budget has room. */
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
     * Returns the error that the caller gets when no further attempt is made and no answer has begun.
     *
     * @param runs attempts that may have run
     * @param outcome how the last attempt ended
     */
    public static ErrorKind finalError(int runs, AttemptOutcome outcome) {
        if (runs == 0) {
            return outcome == AttemptOutcome.REJECTED ? ErrorKind.OVERLOADED : ErrorKind.NO_TARGET;
        }
        return outcome == AttemptOutcome.SILENT ? ErrorKind.TARGET_SILENT : ErrorKind.TARGET_FAILED;
    }
}
