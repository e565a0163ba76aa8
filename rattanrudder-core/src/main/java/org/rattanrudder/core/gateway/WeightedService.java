package org.rattanrudder.core.gateway;

/**
 * A service that gets a share of a route's requests.
 *
 * @param service its name
 * @param weight its share relative to the route's other services; not negative
 */
public record WeightedService(String service, int weight) {}
