package org.rattanrudder.core.burn;

/**
 * The good and bad requests of a request class in one window.
 *
 * @param good requests within the objective
 * @param bad requests that were late, or that failed because of the system
 * @param objectiveShare the share of requests that must be good
 */
public record WindowBurn(long good, long bad, double objectiveShare) {
    /** Returns the number of good and bad requests. */
    public long total() {
        return good + bad;
    }

    /** Returns the share of bad requests, divided by the share that the objective allows; 0 without requests. */
    public double burnRate() {
        return total() == 0 ? 0 : (double) bad / total() / (1 - objectiveShare);
    }

    /** Returns the remaining share of the window's error budget, below 0 if it is exceeded; 1 without requests. */
    public double budgetLeft() {
        return 1 - burnRate();
    }
}
