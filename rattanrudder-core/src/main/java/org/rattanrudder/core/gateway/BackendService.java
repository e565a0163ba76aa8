package org.rattanrudder.core.gateway;

import java.util.Optional;

/**
 * A service that requests can be routed to.
 *
 * @param name its name
 * @param maxConnections the maximum number of connections that one of its targets accepts, over all callers
 * @param engine present if its targets are model engines
 * @param warmUp present if its targets warm up after a start
 */
public record BackendService(
        String name, int maxConnections, Optional<EngineTraits> engine, Optional<WarmUpTraits> warmUp) {
    /** Creates a service whose targets take any load right after a start. */
    public BackendService(String name, int maxConnections, Optional<EngineTraits> engine) {
        this(name, maxConnections, engine, Optional.empty());
    }

    /**
     * Returns how many connections one relay may open to one target. Targets reset connections beyond their limit, and
     * a request on such a connection may or may not have run; so each relay stays within its share, but uses at least
     * one connection to be able to serve.
     *
     * @param relays how many relays are known, including this one
     */
    public int connectionsPerRelay(int relays) {
        return Math.max(1, maxConnections / Math.max(1, relays));
    }
}
