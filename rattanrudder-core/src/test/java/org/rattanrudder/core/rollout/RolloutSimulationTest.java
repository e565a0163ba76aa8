package org.rattanrudder.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.rollout.RolloutPlanner.Engine;

/**
 * Simulates a rollout in steps of 100 ms. All engines have to load new weights, orders are lost or executed seconds
 * later, and requests may start on the old weights for ten seconds only.
 */
class RolloutSimulationTest {
    private static final int STEP_MILLIS = 100;

    /** Maximum age of an engine's reported state, including the polling interval. */
    private static final int STATE_DELAY_MILLIS = 400;

    private static final int MAX_ORDER_DELAY_MILLIS = 3_000;

    /** An engine that loads for a while once it has received an order. */
    private static final class SimulatedEngine {
        private final String id;
        private long loadsFrom = Long.MAX_VALUE;
        private long loadedAt = Long.MAX_VALUE;

        SimulatedEngine(int number) {
            id = "i-" + number;
        }

        void order(long at, long loadMillis) {
            if (at < loadsFrom) {
                loadsFrom = at;
                loadedAt = at + loadMillis;
            }
        }

        long weights(long now) {
            return now - STATE_DELAY_MILLIS >= loadedAt ? 2 : 1;
        }

        boolean isLoading(long now) {
            return loadsFrom <= now && now < loadedAt;
        }
    }

    /**
     * If no order is lost, no more engines load concurrently than allowed, and all are done as soon as that permits.
     */
    @Property(tries = 200)
    void concurrentLoadsAreLimitedAndFinishInTime(
            @ForAll @IntRange(min = 1, max = 40) int engines, @ForAll @LongRange(min = 500, max = 2_000) long load) {
        int atOnce = Math.max(2, (int) (engines * 0.28));
        Outcome outcome = simulate(engines, load, 0, 0);

        assertThat(outcome.maxConcurrent()).isLessThanOrEqualTo(atOnce);
        long waves = (engines + atOnce - 1) / atOnce;
        assertThat(outcome.doneAt()).isLessThanOrEqualTo(waves * (load + STATE_DELAY_MILLIS + STEP_MILLIS));
    }

    /** Up to 35 % of the orders get no response and are executed late or never: all engines load within the bound. */
    @Property(tries = 200)
    void allEnginesLoadInTimeDespiteLostAndLateOrders(
            @ForAll @IntRange(min = 2, max = 12) int engines,
            @ForAll @DoubleRange(min = 0, max = 0.35) double lost,
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
        assertThat(simulate(engines, 900, lost, seed).doneAt()).isLessThanOrEqualTo(15_000);
    }

    /** Guards against an engine whose orders are lost six times in a row and that loads only after the bound. */
    @Test
    void allEnginesLoadInTimeInFailingSample() {
        assertThat(simulate(12, 900, 0.3, 101_470).doneAt()).isLessThanOrEqualTo(15_000);
    }

    private record Outcome(long doneAt, int maxConcurrent) {}

    private static Outcome simulate(int count, long load, double lost, long seed) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        RolloutPlanner plan = new RolloutPlanner();
        List<SimulatedEngine> engines = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            engines.add(new SimulatedEngine(number));
        }
        int maxConcurrent = 0;
        for (long now = 0; now < 60_000; now += STEP_MILLIS) {
            long at = now;
            List<Engine> seen = engines.stream()
                    .map(engine -> new Engine(engine.id, engine.weights(at), 1))
                    .toList();
            if (seen.stream().allMatch(engine -> engine.weights() == 2)) {
                return new Outcome(now, maxConcurrent);
            }
            for (Engine next : plan.nextEngines(seen, 2, now)) {
                order(engines, next, plan, now, load, lost, random);
            }
            maxConcurrent = Math.max(maxConcurrent, (int)
                    engines.stream().filter(engine -> engine.isLoading(at)).count());
        }
        return new Outcome(Long.MAX_VALUE, maxConcurrent);
    }

    private static void order(
            List<SimulatedEngine> engines,
            Engine next,
            RolloutPlanner plan,
            long now,
            long load,
            double lost,
            RandomGenerator random) {
        SimulatedEngine engine = engines.stream()
                .filter(played -> played.id.equals(next.id()))
                .findFirst()
                .orElseThrow();
        plan.onOrdered(next.id(), 2, now);
        if (random.nextDouble() >= lost) {
            engine.order(now, load);
            return;
        }
        plan.onUnanswered(next.id());
        if (random.nextBoolean()) {
            engine.order(now + random.nextInt(MAX_ORDER_DELAY_MILLIS), load);
        }
    }
}
