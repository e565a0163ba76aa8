package org.rattanrudder.core.cache.bench;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.rattanrudder.core.cache.MoverPolicy;
import org.rattanrudder.core.cache.RetentionScore;

/** Prints the cost of reused context under each policy, at three sizes of both deployments. */
public final class ContextBench {
    /** Differs from seed 17, with which the policies were chosen. */
    private static final long SEED = 101;

    private ContextBench() {}

    /** Prints all tables, or those whose name contains the argument. */
    public static void main(String[] arguments) {
        String filter = arguments.length == 0 ? "" : arguments[0];
        for (int contexts : List.of(250, 1_000, 4_000)) {
            for (Shape shape : List.of(Shape.addis(contexts / 4), Shape.povazie(contexts / 16))) {
                for (double share : List.of(0.1, 0.2, 0.3)) {
                    if ((shape.name() + contexts).contains(filter)) {
                        compare(shape, contexts, share);
                    }
                }
            }
        }
    }

    private static Map<String, MoverPolicy> policies() {
        Map<String, MoverPolicy> policies = new LinkedHashMap<>();
        policies.put("mover (return rate)", MoverPolicy.DEFAULT);
        policies.put("export at second sight", new MoverPolicy(RetentionScore.RETURN_RATE, false, true, 8));
        policies.put("no replacement penalty", new MoverPolicy(RetentionScore.RETURN_RATE, true, false, 8));
        policies.put("least recently used", new MoverPolicy(RetentionScore.LEAST_RECENTLY_USED, true, false, 8));
        policies.put("paper: rate x gain, penalty", new MoverPolicy(RetentionScore.RATE_TIMES_GAIN, true, true, 8));
        return policies;
    }

    /** Compares all policies, with stores that together hold this share of all distinct blocks. */
    private static void compare(Shape shape, int contexts, double share) {
        Trace trace = new Trace(shape, contexts, SEED);
        int pool = (int) (trace.distinctBlocks * share);
        System.out.printf(
                Locale.ROOT,
                "%n%s: %d contexts, %d prompts, %d blocks; engines hold %d each, stores %d each (%.0f%% together)%n%n",
                shape.name(),
                contexts,
                trace.prompts.size(),
                trace.distinctBlocks,
                shape.engineBlocks(),
                pool / 2,
                share * 100);
        System.out.println(Outcome.HEADER);
        Outcome naive = new Clairvoyant(0, true).run(trace, shape);
        Outcome clairvoyant = new Clairvoyant(pool, true).run(trace, shape);
        System.out.println(naive.row("naive (evicted is lost)", naive, clairvoyant));
        System.out.println(clairvoyant.row("clairvoyant: next return", naive, clairvoyant));
        System.out.println(
                new Clairvoyant(pool, false).run(trace, shape).row("knows mean gap and end", naive, clairvoyant));
        policies().forEach((name, policy) -> {
            Outcome outcome = new Simulation(shape, pool / 2, policy).run(trace);
            System.out.println(outcome.row(name, naive, clairvoyant));
        });
        for (int segment : List.of(1, 8, 1_000)) {
            Simulation simulation =
                    new Simulation(shape, pool / 2, new MoverPolicy(RetentionScore.RETURN_RATE, true, true, segment));
            simulation.loseStoreAt(Trace.HORIZON_SECONDS * 500_000L);
            System.out.println(simulation.run(trace).row("store lost, segments of " + segment, naive, clairvoyant));
        }
    }
}
