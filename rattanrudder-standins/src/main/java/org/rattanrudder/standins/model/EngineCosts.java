package org.rattanrudder.standins.model;

/**
 * What an engine's work costs.
 *
 * @param slots requests that run at once
 * @param memoryTokens memory for running requests and cached parts, in tokens
 * @param blockTokens memory is given out in blocks of so many tokens
 * @param chunkTokens prompt tokens that one step reads at most
 * @param stepMicros a step without anything else
 * @param stepMicrosPerRun what each running request adds to a step
 * @param prefillTokensPerMilli prompt tokens that are read in a ms
 * @param fetchTokensPerMilli tokens of a stored part that the engine's link brings in a ms
 * @param setupMicros before a request is looked at
 */
record EngineCosts(
        int slots,
        long memoryTokens,
        int blockTokens,
        int chunkTokens,
        long stepMicros,
        long stepMicrosPerRun,
        double prefillTokensPerMilli,
        double fetchTokensPerMilli,
        long setupMicros) {
    private static final double MICROS_PER_MILLI = 1_000;

    /** Returns how long a step takes. */
    long step(int running, int prefillTokens) {
        return stepMicros
                + stepMicrosPerRun * running
                + Math.round(MICROS_PER_MILLI * prefillTokens / prefillTokensPerMilli);
    }

    /** Returns how long a fetch takes once the link is free. */
    long fetch(int tokens) {
        return Math.round(MICROS_PER_MILLI * tokens / fetchTokensPerMilli);
    }

    /** Returns the memory that so many tokens take. */
    long memory(long tokens) {
        return (tokens + blockTokens - 1) / blockTokens * blockTokens;
    }
}
