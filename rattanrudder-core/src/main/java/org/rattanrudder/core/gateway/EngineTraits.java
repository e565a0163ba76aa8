package org.rattanrudder.core.gateway;

/**
 * Properties of the model engines of a service.
 *
 * @param slots how many requests one engine runs concurrently
 * @param capacityTokens the memory of one engine, in tokens
 * @param bytesPerToken the memory of one token, in bytes
 * @param linkMbps the speed of an engine's link for cached context, in Mbit/s
 */
public record EngineTraits(int slots, long capacityTokens, long bytesPerToken, double linkMbps) {}
