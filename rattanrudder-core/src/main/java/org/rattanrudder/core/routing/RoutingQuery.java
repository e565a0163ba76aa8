package org.rattanrudder.core.routing;

import java.util.Set;
import org.rattanrudder.core.model.TargetName;

/**
 * The properties of a request that a routing policy uses.
 *
 * @param affinity the meaning of {@code key}
 * @param key a hash of the context's root or of the idempotency key; 0 without affinity
 * @param contextTokens number of context tokens that may be cached; 0 for plain calls
 * @param costs for estimating the time to compute or fetch missing context
 * @param tried targets that already had an attempt of this request
 */
public record RoutingQuery(Affinity affinity, long key, int contextTokens, ContextCosts costs, Set<TargetName> tried) {
    /** Creates a query with a copy of the set. */
    public RoutingQuery {
        tried = Set.copyOf(tried);
    }

    /** Returns a query without affinity. */
    public static RoutingQuery withoutAffinity(Set<TargetName> tried) {
        return new RoutingQuery(Affinity.NONE, 0, 0, ContextCosts.NONE, tried);
    }
}
