package org.rattanrudder.core.gateway;

import java.util.Set;

/**
 * Decides from the head of a target's answer what becomes of it.
 *
 * <p>A success that the target doesn't vouch for isn't its answer. A failure is passed on as it is, but for two cases:
 * another target may do better, or its status would promise the caller that the request did not run, which the target
 * hasn't said.
 */
public final class ResponseClassifier {
    /** Statuses that promise a caller that its request did not run. */
    private static final Set<Integer> PROMISES = Set.of(408, 429, 503);

    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;
    private static final int FIRST_SERVER_ERROR = 500;

    private ResponseClassifier() {}

    /** What becomes of an answer. */
    public enum Verdict {
        /** It goes to the caller. */
        FORWARD,
        /** Another target, or other weights, were meant; the request did not run. */
        MISDIRECTED,
        /** The target says that it didn't run the request. */
        REJECTED,
        /** It claims success without the target's word for it: it isn't an answer. */
        INVALID_RESPONSE,
        /** The request failed there; another target is tried, or the caller gets a failure of our own. */
        RETRY_OR_FAIL
    }

    /**
     * What the head of an answer says.
     *
     * @param status the HTTP status
     * @param signed whether the target vouches for it
     * @param notRun whether the target says that it didn't run the request
     * @param misdirected whether another target or other weights were meant
     */
    public record Head(int status, boolean signed, boolean notRun, boolean misdirected) {}

    /**
     * Judges an answer.
     *
     * @param head its head
     * @param progress the request's progress, this attempt counted as one that may have run
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
                || PROMISES.contains(head.status())
                || failure && RetryPolicy.mayRetry(progress, AttemptOutcome.FAILED);
        return replaced ? Verdict.RETRY_OR_FAIL : Verdict.FORWARD;
    }

    private static boolean isSuccess(int status) {
        return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }
}
