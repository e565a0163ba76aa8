package org.rattanrudder.core.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.rattanrudder.core.fleet.FirstEventSample.CapacityAtSend;
import org.rattanrudder.core.fleet.LoadReport.TargetLoad;
import org.rattanrudder.core.gateway.EngineTraits;
import org.rattanrudder.core.routing.Hashing;

/**
 * Relays that place requests at engines whose pace varies, in virtual time. Each engine prefills one prompt after the
 * other. Relays know the work of all of them as it was at the last report, and the paces that they have heard of.
 */
final class PacedFleet {
    private static final int ENGINES = 30;
    private static final int SLOTS = 64;
    private static final double TOKENS_PER_MILLI = 42;
    private static final double BASE_MILLIS = 30;
    private static final double ONE_WAY_MILLIS = 1;
    private static final double REPORT_MILLIS = 100;
    private static final double SHARE_WINDOW_MILLIS = 200;
    private static final double WARM_MILLIS = 20_000;
    private static final double END_MILLIS = 60_000;
    private static final double LONG_SHARE = 0.25;
    private static final int LONG_TOKENS = 9_000;
    private static final int SHORT_TOKENS = 800;
    private static final EngineTraits TRAITS = new EngineTraits(SLOTS, 1_000_000, 1, 1);

    /**
     * How relays use what they hear.
     *
     * @param paced whether engines report their pace
     * @param fadeMillis the age at which a report has no influence any more
     * @param heardByAll whether all relays hear each report, not only the one whose request was answered
     * @param ofTwo whether one of the two best engines is picked at random
     */
    record Way(boolean paced, double fadeMillis, boolean heardByAll, boolean ofTwo) {}

    /**
     * What callers get.
     *
     * @param p50 median time to the first event, in ms
     * @param p99 its 99th percentile, in ms
     * @param largestShare the mean over short windows of the largest share of requests that went to one engine
     */
    record Result(double p50, double p99, double largestShare) {
        @Override
        public String toString() {
            return String.format("p50 %.0f ms, p99 %.0f ms, largest share %.3f", p50, p99, largestShare);
        }
    }

    private record Event(double at, long number, Runnable action) {}

    private final SplittableRandom random;
    private final Way way;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingLong(Event::number));
    private final List<List<Target>> relays = new ArrayList<>();
    private final PeerLoads peers = new PeerLoads();
    private final VaryingPace[] paces = new VaryingPace[ENGINES];
    private final double[] freeAt = new double[ENGINES];
    private final int[] requests = new int[ENGINES];
    private final long[] pendingTokens = new long[ENGINES];
    private final int[] windowCounts = new int[ENGINES];
    private final List<Double> firstEvents = new ArrayList<>();
    private final List<Double> largestShares = new ArrayList<>();
    private final double meanGapMillis;
    private double now;
    private long numbers;

    PacedFleet(int relayCount, Way way, double changeMillis, double utilisation, long seed) {
        random = new SplittableRandom(seed);
        this.way = way;
        for (int engine = 0; engine < ENGINES; engine++) {
            paces[engine] = new VaryingPace(random.split(), changeMillis);
        }
        for (int relay = 0; relay < relayCount; relay++) {
            ServiceCapacity service = new ServiceCapacity(way.fadeMillis());
            List<Target> targets = new ArrayList<>();
            for (int engine = 0; engine < ENGINES; engine++) {
                targets.add(PlacementTest.target("i-" + engine, "north", 1, peers, service));
            }
            relays.add(targets);
        }
        double meanTokens = LONG_SHARE * LONG_TOKENS + (1 - LONG_SHARE) * SHORT_TOKENS;
        meanGapMillis = meanTokens * VaryingPace.MEAN / (utilisation * ENGINES * TOKENS_PER_MILLI);
    }

    Result run() {
        after(0, this::arrive);
        after(0, this::report);
        after(SHARE_WINDOW_MILLIS, this::endWindow);
        while (now < END_MILLIS) {
            Event next = events.remove();
            now = next.at();
            next.action().run();
        }
        double[] sorted =
                firstEvents.stream().mapToDouble(each -> each).sorted().toArray();
        double share =
                largestShares.stream().mapToDouble(each -> each).average().orElseThrow();
        return new Result(sorted[sorted.length / 2], sorted[sorted.length * 99 / 100], share);
    }

    private void after(double millis, Runnable action) {
        events.add(new Event(now + millis, numbers++, action));
    }

    private void arrive() {
        after(-meanGapMillis * Math.log(1 - random.nextDouble()), this::arrive);
        int relay = random.nextInt(relays.size());
        int tokens = random.nextDouble() < LONG_SHARE ? LONG_TOKENS : SHORT_TOKENS;
        Target target = choose(relay, tokens);
        int engine = relays.get(relay).indexOf(target);
        windowCounts[engine]++;
        Target.RequestCost cost = new Target.RequestCost(tokens, tokens);
        CapacityAtSend before = target.capacityAtSend((long) now);
        double sentAt = now;
        target.onSent(cost, (long) now);
        requests[engine]++;
        pendingTokens[engine] += tokens;
        after(ONE_WAY_MILLIS, () -> {
            double begun = Math.max(now, freeAt[engine]);
            freeAt[engine] = paces[engine].finish(begun, tokens / TOKENS_PER_MILLI);
            after(freeAt[engine] - now, () -> {
                requests[engine]--;
                pendingTokens[engine] -= tokens;
                int pace = (int) (100 * paces[engine].at(now));
                double baseMillis = BASE_MILLIS * pace / 100 + ONE_WAY_MILLIS;
                after(baseMillis, () -> answered(target, engine, cost, before, sentAt, pace));
            });
        });
    }

    private void answered(
            Target target, int engine, Target.RequestCost cost, CapacityAtSend before, double sentAt, int pace) {
        OptionalInt reported = way.paced() ? OptionalInt.of(pace) : OptionalInt.empty();
        SelfReport.Load load = new SelfReport.Load(0, 0, OptionalInt.of(SLOTS), reported);
        if (way.heardByAll()) {
            relays.forEach(targets -> targets.get(engine).capacity().onReported(load, (long) now));
        } else {
            target.capacity().onReported(load, (long) now);
        }
        double expected = target.capacity().firstEventMillis(cost.prefillTokens(), (long) now);
        target.capacity()
                .onFirstEvent(
                        new FirstEventSample(before, cost.tokens(), cost.prefillTokens(), 0, now - sentAt), (long) now);
        target.onFirstByte(cost);
        target.onEnded(cost, true);
        target.recordSuccess(now - sentAt - expected, (long) now);
        if (sentAt > WARM_MILLIS) {
            firstEvents.add(now - sentAt);
        }
    }

    private Target choose(int relay, int tokens) {
        PlacementQuery query = new PlacementQuery(
                "llm",
                "north",
                Optional.of(TRAITS),
                Optional.of("m"),
                1,
                1,
                tokens,
                0,
                Hashing.of("relay-" + relay),
                relays.size() - 1,
                0,
                Integer.MAX_VALUE,
                Set.of());
        List<Target> targets = relays.get(relay);
        return Placement.choose(targets, query, (long) now, () -> way.ofTwo() && random.nextBoolean())
                .orElseThrow()
                .target();
    }

    /** All work of all relays as one peer's report: a relay's own work counts twice, a small share of it. */
    private void report() {
        after(REPORT_MILLIS, this::report);
        List<TargetLoad> loads = new ArrayList<>();
        for (int engine = 0; engine < ENGINES; engine++) {
            loads.add(new TargetLoad("i-" + engine, requests[engine], 0, pendingTokens[engine]));
        }
        peers.apply(TestReports.ofLoads(numbers, loads), (long) now);
    }

    private void endWindow() {
        after(SHARE_WINDOW_MILLIS, this::endWindow);
        int all = Arrays.stream(windowCounts).sum();
        if (all > 0 && now > WARM_MILLIS) {
            largestShares.add((double) Arrays.stream(windowCounts).max().orElseThrow() / all);
        }
        Arrays.fill(windowCounts, 0);
    }
}
