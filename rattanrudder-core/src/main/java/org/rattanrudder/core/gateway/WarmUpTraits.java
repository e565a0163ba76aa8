package org.rattanrudder.core.gateway;

/**
 * How a service's targets warm up after a start.
 *
 * @param millis how long a target warms up, in ms
 * @param requestsPerSecond how many requests a second it tolerates meanwhile, over all relays
 */
public record WarmUpTraits(long millis, double requestsPerSecond) {}
