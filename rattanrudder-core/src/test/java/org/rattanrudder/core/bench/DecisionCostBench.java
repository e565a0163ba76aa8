package org.rattanrudder.core.bench;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.rattanrudder.core.document.TargetSettings;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.TargetName;
import org.rattanrudder.core.routing.Affinity;
import org.rattanrudder.core.routing.AffinityPolicy;
import org.rattanrudder.core.routing.ContextCosts;
import org.rattanrudder.core.routing.Hashing;
import org.rattanrudder.core.routing.Route;
import org.rattanrudder.core.routing.RoutingQuery;
import org.rattanrudder.core.routing.TargetPool;

/** Measures the time of one routing decision for several numbers of targets. */
public final class DecisionCostBench {
    private static final int WARM_UP_DECISIONS = 200_000;
    private static final int MEASURED_DECISIONS = 200_000;
    private static final int CONTEXTS = 320_000;
    private static final ContextCosts COSTS = new ContextCosts(60_000, 0, 0);

    private DecisionCostBench() {}

    /** Runs all sizes and prints the table. */
    public static void main(String[] arguments) {
        System.out.println("targets | kind of request    |   p50 us   p99 us");
        for (int targets : new int[] {10, 100, 1_000, 10_000}) {
            for (String kind : List.of("returning context", "hot context", "no context")) {
                measure(targets, kind);
            }
        }
    }

    private static void measure(int targets, String kind) {
        SplittableRandom random = new SplittableRandom(5);
        TargetPool pool = pool(targets);
        AffinityPolicy policy = new AffinityPolicy("domain-1", random);
        long[] nanos = new long[MEASURED_DECISIONS];
        for (int decision = -WARM_UP_DECISIONS; decision < MEASURED_DECISIONS; decision++) {
            long now = 1_000_000 + (decision + WARM_UP_DECISIONS) * 2L;
            RoutingQuery query = query(kind, random);
            long begin = System.nanoTime();
            Route route = policy.choose(query, pool, now).orElseThrow();
            policy.onDispatched(query, route, pool, now);
            long end = System.nanoTime();
            if (decision >= 0) {
                nanos[decision] = end - begin;
            }
        }
        Arrays.sort(nanos);
        System.out.printf(
                "%7d | %-18s | %8.2f %8.2f%n",
                targets, kind, nanos[MEASURED_DECISIONS / 2] / 1e3, nanos[MEASURED_DECISIONS / 100 * 99] / 1e3);
    }

    private static RoutingQuery query(String kind, SplittableRandom random) {
        return switch (kind) {
            case "returning context" -> context(random.nextInt(CONTEXTS));
            case "hot context" -> context(random.nextInt(4));
            default -> RoutingQuery.withoutAffinity(Set.of());
        };
    }

    private static RoutingQuery context(int number) {
        return new RoutingQuery(Affinity.CONTEXT, Hashing.mix(number), 8_000, COSTS, Set.of());
    }

    private static TargetPool pool(int targets) {
        List<TargetSettings> settings = new ArrayList<>();
        for (int number = 0; number < targets; number++) {
            Address address = new Address("10.0." + number / 256 + "." + number % 256, 9000);
            settings.add(new TargetSettings(
                    new TargetName("target-" + number), address, address, "domain-" + number % 20, true, false, 0, 16));
        }
        TargetPool pool = new TargetPool(settings);
        pool.targets()
                .forEach(target -> target.applyReport(
                        new Frame.TargetState(target.name(), true, target.name().hashCode() & 15, 0, 0, "v1", 0, 0),
                        1_000_000));
        return pool;
    }
}
