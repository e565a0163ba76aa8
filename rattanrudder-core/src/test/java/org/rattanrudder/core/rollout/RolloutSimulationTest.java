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
 * Weights are named and every engine has to load them. Orders are lost, or carried out seconds later; requests may
 * begin on the old weights for ten seconds only. Plays the plan against such engines in steps of 100 ms.
 */
class RolloutPlayTest {
    private static final int STEP_MILLIS = 100;

    /** How old what an engine says of itself may be, and how often it is asked, in ms. */
    private static final int SEEN_AFTER_MILLIS = 400;

    private static final int LATEST_MILLIS = 3_000;

    /** An engine that loads for a while once an order has reached it. */
    private static final class Played {
        private final String id;
        private long loadsFrom = Long.MAX_VALUE;
        private long loadedAt = Long.MAX_VALUE;

        Played(int number) {
            id = "i-" + number;
        }

        void order(long at, long loadMillis) {
            if (at < loadsFrom) {
                loadsFrom = at;
                loadedAt = at + loadMillis;
            }
        }

        long weights(long now) {
            return now - SEEN_AFTER_MILLIS >= loadedAt ? 2 : 1;
        }

        boolean isLoading(long now) {
            return loadsFrom <= now && now < loadedAt;
        }
    }

    /** Where no order is lost, no more load at once than may, and all are done as soon as that allows. */
    @Property(tries = 200)
    void enginesLoadOneAfterTheOther(
            @ForAll @IntRange(min = 1, max = 40) int engines, @ForAll @LongRange(min = 500, max = 2_000) long load) {
        int atOnce = Math.max(2, (int) (engines * 0.28));
        Outcome outcome = play(engines, load, 0, 0);

        assertThat(outcome.mostAtOnce()).isLessThanOrEqualTo(atOnce);
        long waves = (engines + atOnce - 1) / atOnce;
        assertThat(outcome.doneAt()).isLessThanOrEqualTo(waves * (load + SEEN_AFTER_MILLIS + STEP_MILLIS));
    }

    /** Up to 35 in 100 orders get no answer, and are carried out late or never: all engines load within the bound. */
    @Property(tries = 200)
    void lostAndLateOrdersHoldNobodyUp(
            @ForAll @IntRange(min = 2, max = 12) int engines,
            @ForAll @DoubleRange(min = 0, max = 0.35) double lost,
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
        assertThat(play(engines, 900, lost, seed).doneAt()).isLessThanOrEqualTo(15_000);
    }

    /** A drawn sample that failed: one engine whose orders are lost time after time. */
    @Test
    void lostAndLateOrdersOfADrawnSampleHoldNobodyUp() {
        assertThat(play(12, 900, 0.3, 101_470).doneAt()).isLessThanOrEqualTo(15_000);
    }

    private record Outcome(long doneAt, int mostAtOnce) {}

    private static Outcome play(int count, long load, double lost, long seed) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        RolloutPlanner plan = new RolloutPlanner();
        List<Played> engines = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            engines.add(new Played(number));
        }
        int most = 0;
        for (long now = 0; now < 60_000; now += STEP_MILLIS) {
            long at = now;
            List<Engine> seen = engines.stream()
                    .map(engine -> new Engine(engine.id, engine.weights(at), 1))
                    .toList();
            if (seen.stream().allMatch(engine -> engine.weights() == 2)) {
                return new Outcome(now, most);
            }
            for (Engine next : plan.nextEngines(seen, 2, now)) {
                order(engines, next, plan, now, load, lost, random);
            }
            most = Math.max(most, (int)
                    engines.stream().filter(engine -> engine.isLoading(at)).count());
        }
        return new Outcome(Long.MAX_VALUE, most);
    }

    private static void order(
            List<Played> engines,
            Engine next,
            RolloutPlanner plan,
            long now,
            long load,
            double lost,
            RandomGenerator random) {
        Played engine = engines.stream()
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
            engine.order(now + random.nextInt(LATEST_MILLIS), load);
        }
    }
}
