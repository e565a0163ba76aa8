package org.rattanrudder.core.bench;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.rattanrudder.core.routing.AffinityPolicy;
import org.rattanrudder.core.routing.BaselinePolicies;
import org.rattanrudder.core.routing.RoutingPolicy;

/**
 * Compares routing policies on the same seeds: with a context that suddenly becomes hot, with plain calls and stale
 * load reports, and with the loss of a failure domain.
 */
public final class RoutingBench {
    private static final long MICROS_PER_SECOND = ServingModel.MICROS_PER_SECOND;
    private static final long[] SEEDS = {1, 2, 3};
    private static final long HOT_CONTEXT_ID = 1_000_003;
    private static final int CONTEXTS_PER_SIX_TARGETS = 120;
    private static final int FAST_PREFILL_TOKENS_PER_SECOND = 60_000;
    private static final int SLOW_PREFILL_TOKENS_PER_SECOND = 10_000;
    private static final double ZIPF_EXPONENT = 0.9;

    private static final Map<String, Function<SplittableRandom, RoutingPolicy>> POLICIES = new LinkedHashMap<>();

    static {
        POLICIES.put("random", BaselinePolicies::random);
        POLICIES.put("round robin", random -> BaselinePolicies.roundRobin());
        POLICIES.put("least load", random -> BaselinePolicies.leastLoad());
        POLICIES.put("least reported", random -> BaselinePolicies.leastReported());
        POLICIES.put("prefix affinity", random -> BaselinePolicies.prefixAffinity());
        POLICIES.put("rattanrudder", random -> new AffinityPolicy("domain-1", random));
    }

    private RoutingBench() {}

    /** Runs all comparisons and prints the tables. */
    public static void main(String[] arguments) {
        compareHotContext("Považie: 6 engines, 3 entries, 36 requests/s", 6, 3, 36, FAST_PREFILL_TOKENS_PER_SECOND);
        compareHotContext("60 engines, 6 entries, 360 requests/s", 60, 6, 360, FAST_PREFILL_TOKENS_PER_SECOND);
        compareHotContext(
                "the first with engines six times slower at computing context",
                6,
                3,
                36,
                SLOW_PREFILL_TOKENS_PER_SECOND);
        comparePlainCalls("plain calls: 3 targets, 3 entries", 3, 3, 150);
        comparePlainCalls("plain calls: 30 targets, 10 entries", 30, 10, 1_500);
        compareLostDomain();
    }

    private static ServingModel.Parameters engines(int targets, int entries, int prefill) {
        return new ServingModel.Parameters(targets, 3, entries, 16, 20, 8_000, 200, prefill, 800_000);
    }

    private static void compareHotContext(String title, int targets, int entries, int perSecond, int prefill) {
        System.out.printf("%n%s; one context takes 90%% of demand between 60 s and 120 s%n", title);
        System.out.println("policy           steady p50   p95 | breaking p50   p95    p99 | recomputed | refused");
        POLICIES.forEach((name, policy) -> {
            List<ServingModel.Outcome> all = new ArrayList<>();
            int refused = 0;
            for (long seed : SEEDS) {
                ServingModel model = new ServingModel(engines(targets, entries, prefill), seed, policy);
                all.addAll(model.run(demand(seed, 180, perSecond, targets * CONTEXTS_PER_SIX_TARGETS / 6, true), -1));
                refused += model.refused();
            }
            System.out.printf(
                    "%-16s %7.0f ms %5.0f | %9.0f ms %5.0f %6.0f | %9.1f%% | %d%n",
                    name,
                    firstTokenMillis(all, 10, 60, 0.5),
                    firstTokenMillis(all, 10, 60, 0.95),
                    firstTokenMillis(all, 60, 180, 0.5),
                    firstTokenMillis(all, 60, 180, 0.95),
                    firstTokenMillis(all, 60, 180, 0.99),
                    100 * recomputedShare(all, 60, 180),
                    refused);
        });
    }

    private static void comparePlainCalls(String title, int targets, int entries, int perSecond) {
        System.out.printf("%n%s, %d requests/s, reports each second%n", title, perSecond);
        System.out.println("policy            p50      p95      p99");
        POLICIES.forEach((name, policy) -> {
            if (name.equals("prefix affinity")) {
                return;
            }
            List<ServingModel.Outcome> all = new ArrayList<>();
            for (long seed : SEEDS) {
                ServingModel.Parameters parameters =
                        new ServingModel.Parameters(targets, 3, entries, 4, 1, 0, 1, 1_000_000, 60_000);
                ServingModel model = new ServingModel(parameters, seed, policy);
                all.addAll(model.run(plainDemand(seed, 60, perSecond), -1));
            }
            System.out.printf(
                    "%-16s %5.1f ms %5.1f ms %5.1f ms%n",
                    name,
                    quantileMicros(all, 0.5) / 1e3,
                    quantileMicros(all, 0.95) / 1e3,
                    quantileMicros(all, 0.99) / 1e3);
        });
    }

    private static void compareLostDomain() {
        System.out.printf(
                "%n6 engines, 24 requests/s, one of three failure domains lost at 60 s; p95 of each second%n");
        System.out.println("policy           before | 0-2 s  2-4  4-6  6-8  8-10 | after 10 s | cut off in mid-answer");
        POLICIES.forEach((name, policy) -> {
            List<ServingModel.Outcome> all = new ArrayList<>();
            int lost = 0;
            for (long seed : SEEDS) {
                ServingModel model = new ServingModel(engines(6, 3, FAST_PREFILL_TOKENS_PER_SECOND), seed, policy);
                all.addAll(
                        model.run(demand(seed, 120, 24, CONTEXTS_PER_SIX_TARGETS / 2, false), 60 * MICROS_PER_SECOND));
                lost += model.lost();
            }
            System.out.printf(
                    "%-16s %6.0f | %5.0f %5.0f %4.0f %4.0f %4.0f | %7.0f ms | %d%n",
                    name,
                    firstTokenMillis(all, 20, 60, 0.95),
                    firstTokenMillis(all, 60, 62, 0.95),
                    firstTokenMillis(all, 62, 64, 0.95),
                    firstTokenMillis(all, 64, 66, 0.95),
                    firstTokenMillis(all, 66, 68, 0.95),
                    firstTokenMillis(all, 68, 70, 0.95),
                    firstTokenMillis(all, 70, 120, 0.95),
                    lost);
        });
    }

    private static List<ServingModel.Demand> demand(
            long seed, int seconds, int perSecond, int contexts, boolean hotContext) {
        SplittableRandom random = new SplittableRandom(seed * 7_919);
        double[] cumulative = new double[contexts];
        double sum = 0;
        for (int rank = 0; rank < contexts; rank++) {
            sum += 1 / Math.pow(rank + 1, ZIPF_EXPONENT);
            cumulative[rank] = sum;
        }
        List<ServingModel.Demand> demand = new ArrayList<>();
        double micros = 0;
        while (micros < seconds * MICROS_PER_SECOND) {
            micros += -Math.log(1 - random.nextDouble()) * MICROS_PER_SECOND / perSecond;
            double hotShare = hotContext ? Math.max(0, Math.min(0.9, (micros / MICROS_PER_SECOND - 60) / 60 * 0.9)) : 0;
            double drawn = random.nextDouble() * sum;
            int rank = 0;
            while (cumulative[rank] < drawn) {
                rank++;
            }
            demand.add(
                    new ServingModel.Demand((long) micros, random.nextDouble() < hotShare ? HOT_CONTEXT_ID : rank + 1));
        }
        return demand;
    }

    private static List<ServingModel.Demand> plainDemand(long seed, int seconds, int perSecond) {
        return demand(seed, seconds, perSecond, 1, false).stream()
                .map(each -> new ServingModel.Demand(each.micros(), 0))
                .toList();
    }

    private static double firstTokenMillis(List<ServingModel.Outcome> all, int from, int to, double quantile) {
        return quantileMicros(
                        all.stream()
                                .filter(each -> each.micros() >= from * MICROS_PER_SECOND
                                        && each.micros() < to * MICROS_PER_SECOND)
                                .toList(),
                        quantile)
                / 1e3;
    }

    private static double quantileMicros(List<ServingModel.Outcome> outcomes, double quantile) {
        long[] sorted = outcomes.stream()
                .mapToLong(ServingModel.Outcome::firstTokenMicros)
                .sorted()
                .toArray();
        return sorted.length == 0 ? Double.NaN : sorted[(int) (quantile * (sorted.length - 1))];
    }

    private static double recomputedShare(List<ServingModel.Outcome> all, int from, int to) {
        long tokens = 0;
        long recomputed = 0;
        for (ServingModel.Outcome each : all) {
            if (each.micros() >= from * MICROS_PER_SECOND && each.micros() < to * MICROS_PER_SECOND) {
                tokens += each.promptTokens();
                recomputed += each.recomputedTokens();
            }
        }
        return (double) recomputed / tokens;
    }
}
