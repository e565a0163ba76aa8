package org.rattanrudder.core.fleet;

/**
 * The time to the first event of one response of an engine, and what it contains.
 *
 * @param before the target when the request was sent
 * @param promptTokens the tokens of its prompt
 * @param prefillTokens those of them that needed prefill
 * @param fetchMillis the time that the fetch of the others takes on an idle link, in ms
 * @param millis the time to the first event, in ms
 */
public record FirstEventSample(
        CapacityAtSend before, int promptTokens, int prefillTokens, double fetchMillis, double millis) {
    /**
     * Weight of a sample with a fetch: its time on a busy or slow link isn't known, and must not be learned as the
     * target's where other samples say more.
     */
    private static final double FETCHED_WEIGHT = 0.25;

    /**
     * What was known of a target when a request was sent to it, without the request.
     *
     * @param aheadTokens prompt tokens that awaited prefill there
     * @param requests the requests that were there
     * @param pace the expected pace, 1 for the usual one
     */
    public record CapacityAtSend(long aheadTokens, int requests, double pace) {}

    /** Returns the prompt tokens that were prefilled until the first event. */
    double totalTokens() {
        return (double) before.aheadTokens() + prefillTokens;
    }

    /** Returns the time without the fetch, in ms. */
    double millisWithoutFetch() {
        return millis - fetchMillis;
    }

    /**
     * Returns the pace between sending and the first event: the mean of what was expected before and reported after.
     */
    double meanPace(double paceAfter) {
        return (before.pace() + paceAfter) / 2;
    }

    private double unfetchedWeight() {
        return fetchMillis > 0 ? FETCHED_WEIGHT * Math.max(0, 1 - fetchMillis / Math.max(1, millis)) : 1;
    }

    /**
     * Returns how much it says of the target's speed, from 0 to 1. The most is said by a response of an idle target at
     * an even pace without a fetch; what other requests, fetches and changes of pace contribute is known inexactly.
     *
     * @param ownShare the share of the expected time that the request's own prompt takes
     * @param slots how many requests the target runs at once
     * @param paceAfter the pace expected when the first event arrived, 1 for the usual one
     */
    double weight(double ownShare, int slots, double paceAfter) {
        double idle = 1 - 0.5 * Math.min(1, (double) before.requests() / Math.max(1, slots));
        double steady = Math.min(before.pace(), paceAfter) / Math.max(before.pace(), paceAfter);
        return ownShare * ownShare * idle * steady * unfetchedWeight();
    }
}
