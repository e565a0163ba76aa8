package org.rattanrudder.core.routing;

import java.util.Optional;

/**
 * Picks the target of a request.
 *
 * <pre>{@code
 * RoutingPolicy first = (query, pool, nowMicros) -> pool.targets().stream()
 *         .filter(target -> target.isEligible(nowMicros))
 *         .findFirst()
 *         .map(target -> new Route(target, 0, 0, "first"));
 * }</pre>
 */
@FunctionalInterface
public interface RoutingPolicy {
    /** Returns a route to the chosen target; empty if no target is eligible. */
    Optional<Route> choose(RoutingQuery query, TargetPool pool, long nowMicros);

    /** Called when a request was sent on a route that this policy chose. */
    default void onDispatched(RoutingQuery query, Route route, TargetPool pool, long nowMicros) {}
}
