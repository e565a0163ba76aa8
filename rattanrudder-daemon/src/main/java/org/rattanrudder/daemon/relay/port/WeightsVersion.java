package org.rattanrudder.daemon.relay.port;

/**
 * A version of a model's weights.
 *
 * @param model the model
 * @param version increases with each version that operators publish
 */
public record WeightsVersion(String model, long version) {}
