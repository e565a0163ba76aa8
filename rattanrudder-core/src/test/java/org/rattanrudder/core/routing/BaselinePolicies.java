package org.rattanrudder.core.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.random.RandomGenerator;

/** Simple policies that {@link AffinityPolicy} is compared with. */
public final class BaselinePolicies {
    private BaselinePolicies() {}

    /** Picks an eligible target at random. */
    public static RoutingPolicy random(RandomGenerator random) {
        return pick((query, eligible) -> eligible.get(random.nextInt(eligible.size())));
    }

    /** Picks the eligible targets in turn. */
    public static RoutingPolicy roundRobin() {
        int[] turn = {0};
        return pick((query, eligible) -> eligible.get(turn[0]++ % eligible.size()));
    }

    /** Picks the eligible target with the fewest requests by its reports and the entry's own requests in flight. */
    public static RoutingPolicy leastLoad() {
        return pick((query, eligible) -> eligible.stream()
                .min(Comparator.comparingDouble(RoutableTarget::utilization))
                .orElseThrow());
    }

    /** Picks the eligible target with the fewest requests by its last report alone. */
    public static RoutingPolicy leastReported() {
        return pick((query, eligible) -> eligible.stream()
                .min(Comparator.comparingInt(RoutableTarget::reportedRequests))
                .orElseThrow());
    }

    /** Picks the eligible target that ranks highest for the context, whatever its load. */
    public static RoutingPolicy prefixAffinity() {
        return pick((query, eligible) -> eligible.stream()
                .max((left, right) -> Long.compareUnsigned(
                        Hashing.combine(query.key(), left.nameHash()), Hashing.combine(query.key(), right.nameHash())))
                .orElseThrow());
    }

    private static RoutingPolicy pick(BiFunction<RoutingQuery, List<RoutableTarget>, RoutableTarget> choice) {
        return (query, pool, nowMicros) -> {
            List<RoutableTarget> eligible = pool.targets().stream()
                    .filter(target ->
                            target.isEligible(nowMicros) && !query.tried().contains(target.name()))
                    .toList();
            return eligible.isEmpty()
                    ? Optional.empty()
                    : Optional.of(new Route(choice.apply(query, eligible), 0, 0, "naive"));
        };
    }
}
