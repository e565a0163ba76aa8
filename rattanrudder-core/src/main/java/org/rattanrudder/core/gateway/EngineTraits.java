package org.rattanrudder.core.gateway;

/**
 * What the model engines of a service can do.
 *
 * @param slots requests that run at once in one engine
 * @param capacityTokens memory of one engine, in tokens
 * @param bytesPerToken memory of a token, in bytes
 * @param linkMbps the speed of an engine's link for cached context, in Mbit/s
 */
public record EngineTraits(int slots, long capacityTokens, long bytesPerToken, double linkMbps) {}
