package org.rattanrudder.core.entry;

/**
 * Limits the retries of a service to a share of its first attempts, so that retries don't amplify an overload.
 *
 * <p>Without a limit, requests that a temporarily slow target is still working on would be retried, which slows it down
 * further until it can't recover. Unused retries are saved up so that the loss of a failure domain can be compensated
 * at once.
 */
final class RetryBudget {
    /** Number of retries that are available at the start, before any first attempt. */
    static final double INITIAL_RETRIES = 20;

    /** Maximum number of retries that can be saved up. */
    static final double MAX_SAVED_RETRIES = 500;

    private double balance = INITIAL_RETRIES;

    /**
     * Records a first attempt.
     *
     * @param share number of retries that it earns, such as 0.1
     */
    void recordFirstAttempt(double share) {
        balance = Math.min(MAX_SAVED_RETRIES, balance + share);
    }

    /** Takes one retry from the budget; returns false if none is left. */
    boolean tryRetry() {
        if (balance < 1) {
            return false;
        }
        balance--;
        return true;
    }
}
