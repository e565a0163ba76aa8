package org.rattanrudder.core.gateway;

/**
 * Properties of the model engines of a service.
 *
 * @param slots how many requests one engine runs concurrently
 * @param capacityTokens the memory of one engine, in tokens
 * @param bytesPerToken the memory of one token, in bytes
 * @param linkMbps the speed of an engine's link for cached context, in Mbit/s
 */
public record EngineTraits(int slots, long capacityTokens, long bytesPerToken, double linkMbps) {
    /** Bytes that a link of 1 Mbit/s transfers in 1 ms: 1,000 bits of 8 per byte. */
    private static final double BYTES_PER_MILLI_PER_MBPS = 125;

    /** Returns how long the fetch of so many tokens takes on an idle link, in ms. */
    public double fetchMillis(int tokens) {
        return tokens * bytesPerToken / (linkMbps * BYTES_PER_MILLI_PER_MBPS);
    }
}
