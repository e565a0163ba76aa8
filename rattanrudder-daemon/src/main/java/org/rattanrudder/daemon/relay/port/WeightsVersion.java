package org.rattanrudder.daemon.relay.port;

/**
 * A version of a model's weights that operators want served.
 *
 * @param model the model
 * @param version increases with each naming
 */
public record WeightsVersion(String model, long version) {}
