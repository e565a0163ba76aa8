package org.rattanrudder.core.parts;

/**
 * How late the fetches of a store may be before prompts compute the store's parts anew.
 *
 * @param fullMillis lateness up to which every prompt fetches, in ms
 * @param spanMillis further lateness over which the share of prompts that fetch falls to its minimum, in ms
 */
record FetchTolerance(double fullMillis, double spanMillis) {
    /** The tolerance if the engine's speed isn't known: later fetches would miss an objective of half a second. */
    static final FetchTolerance FIXED = new FetchTolerance(80, 300);

    /** The mean lateness as a share of the slack: the lateness of single fetches varies by several times the mean. */
    private static final double SLACK_SHARE = 0.25;

    /** How long a fetch may take at most, as a multiple of the time to compute, if that leaves too little slack. */
    private static final double MAX_COMPUTE_RATIO = 1.5;

    /**
     * Returns the tolerance of a prompt that may compute the parts instead.
     *
     * <p>While a fetch is no later than the computation takes, there is nothing to gain by computing. Beyond that a
     * fetch is made only as long as it leaves the response on time.
     *
     * @param computeMillis how long the engine needs to compute the parts that the store holds, in ms
     * @param slackMillis by how much the response may be later than without the fetch and still be on time, in ms
     */
    static FetchTolerance of(double computeMillis, double slackMillis) {
        double minimumAtMillis = Math.max(MAX_COMPUTE_RATIO * computeMillis, slackMillis * SLACK_SHARE);
        return new FetchTolerance(computeMillis, Math.max(1, minimumAtMillis - computeMillis));
    }
}
