package org.rattanrudder.core.gateway;

import java.util.Optional;

/**
 * A service that requests can be routed to.
 *
 * @param name its name
 * @param maximumConnections connections that one of its targets takes, from all callers together
 * @param engine present if its targets are model engines
 */
public record BackendService(String name, int maximumConnections, Optional<EngineTraits> engine) {}
