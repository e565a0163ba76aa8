package org.rattanrudder.core.gateway;

import java.util.Optional;

/**
 * A service that requests can be routed to.
 *
 * @param name its name
 * @param maxConnections connections that one of its targets takes, from all callers together
 * @param engine present if its targets are model engines
 */
public record BackendService(String name, int maxConnections, Optional<EngineTraits> engine) {
    /**
     * Returns the connections that one relay may use at one of its targets. Targets reset what is beyond their bound,
     * and a request on such a connection may or may not have run; each relay therefore keeps to its part, and to one
     * connection at least, so that it serves at all.
     *
     * @param relays how many relays are known, this one included
     */
    public int connectionsPerRelay(int relays) {
        return Math.max(1, maxConnections / Math.max(1, relays));
    }
}
