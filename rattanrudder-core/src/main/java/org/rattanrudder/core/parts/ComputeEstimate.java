package org.rattanrudder.core.parts;

/**
 * How soon an engine could start the response to a prompt by computing it instead of fetching parts of it.
 *
 * @param tokensPerMilli prompt tokens that the engine computes in a ms
 * @param slackMillis by how much the response may start later than with all shared parts at hand and still be on time
 */
public record ComputeEstimate(double tokensPerMilli, double slackMillis) {
    /**
     * Creates an estimate.
     *
     * @throws IllegalArgumentException if the speed isn't positive
     */
    public ComputeEstimate {
        if (!(tokensPerMilli > 0)) {
            throw new IllegalArgumentException("tokens per ms must be positive: " + tokensPerMilli);
        }
    }

    /** Returns the tolerance for fetches of this many tokens. */
    FetchTolerance tolerance(int tokens) {
        return FetchTolerance.of(tokens / tokensPerMilli, slackMillis);
    }
}
