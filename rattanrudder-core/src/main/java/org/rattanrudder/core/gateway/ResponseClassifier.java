package org.rattanrudder.core.gateway;

import java.util.Set;

/**
 * Decides from the head of a target's response how to handle it.
 *
 * <p>A success without the target's signature isn't a valid response. An error is forwarded unchanged, with two
 * exceptions: another target may succeed, or the status would assure the caller that the request did not run, which the
 * target hasn't confirmed.
 */
public final class ResponseClassifier {
    /** Statuses that assure a caller that its request did not run. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 429, 503);

    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;
    private static final int FIRST_SERVER_ERROR = 500;

    private ResponseClassifier() {}

    /** How to handle a response. */
    public enum Verdict {
        /** Forward it to the caller. */
        FORWARD,
        /** The request was meant for another target, or for other weights, and did not run. */
        MISDIRECTED,
        /** The target confirmed that it did not run the request. */
        REJECTED,
        /** A success without the target's signature, which is not a valid response. */
        INVALID_RESPONSE,
        /** The request failed; another target is tried, or the caller gets an error from the relay. */
        RETRY_OR_FAIL
    }

    /**
     * The relevant parts of a response head.
     *
     * @param status the HTTP status
     * @param signed whether the target has signed the response
     * @param notRun whether the target confirms that it did not run the request
     * @param misdirected whether the request was meant for another target or other weights
     */
    public record Head(int status, boolean signed, boolean notRun, boolean misdirected) {}

    /**
     * Classifies a response.
     *
     * @param head its head
     * @param progress the request's progress, with this attempt counted as one that may have run
     */
    public static Verdict classify(Head head, RetryPolicy.Progress progress) {
        if (head.misdirected()) {
            return Verdict.MISDIRECTED;
        }
        if (head.notRun()) {
            return Verdict.REJECTED;
        }
        if (isSuccess(head.status())) {
            return head.signed() ? Verdict.FORWARD : Verdict.INVALID_RESPONSE;
        }
        boolean failure = head.status() >= FIRST_SERVER_ERROR;
        boolean replaced = progress.responseStarted()
                || NOT_RUN_STATUSES.contains(head.status())
                || failure && RetryPolicy.mayRetry(progress, AttemptOutcome.FAILED);
        return replaced ? Verdict.RETRY_OR_FAIL : Verdict.FORWARD;
    }

    private static boolean isSuccess(int status) {
        return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }
}
