package org.rattanrudder.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanrudder.core.rollout.RolloutPlanner.Engine;

class RolloutPlannerTest {
    private static final long POLL_MILLIS = 100;

    /** How long an answer to an order is waited for. */
    private static final long ANSWER_MILLIS = 900;

    private final RolloutPlanner plan = new RolloutPlanner();

    /**
     * When engines waited for their running requests to end before they loaded, they were idle for seconds, one after
     * the other, and a quarter of the service's capacity was missing for eleven seconds. Engines with the fewest
     * requests go first and load at once.
     */
    @Test
    void leastBusyEnginesAreOrderedFirstWithoutDraining() {
        List<Engine> engines =
                List.of(new Engine("a", 1, 9), new Engine("b", 1, 2), new Engine("c", 1, 5), new Engine("d", 1, 7));

        assertThat(plan.nextEngines(engines, 2, 0)).extracting(Engine::id).containsExactly("b", "c");
        plan.onOrdered("b", 2, 0);
        plan.onOrdered("c", 2, 0);
        assertThat(plan.nextEngines(engines, 2, 10)).isEmpty();

        List<Engine> loaded =
                List.of(new Engine("a", 1, 9), new Engine("b", 2, 2), new Engine("c", 2, 5), new Engine("d", 1, 7));
        assertThat(plan.nextEngines(loaded, 2, 1_000)).extracting(Engine::id).containsExactly("d", "a");
    }

    /** Engines that loaded by a late order stayed the next to be ordered: the lease was renewed for them in vain. */
    @Test
    void enginesThatLoadByALateOrderLeaveTheirPlacesToOthers() {
        List<Engine> engines =
                List.of(new Engine("a", 1, 0), new Engine("b", 1, 0), new Engine("c", 1, 0), new Engine("d", 1, 0));
        engines.forEach(engine -> {
            plan.onOrdered(engine.id(), 2, 0);
            plan.onUnanswered(engine.id());
        });
        long due = RolloutPlanner.UNANSWERED_TIMEOUT_MILLIS;
        assertThat(plan.nextEngines(engines, 2, due)).extracting(Engine::id).containsExactly("a", "b");

        plan.onLoading("a", 2, due);
        plan.onLoading("b", 2, due);
        assertThat(plan.nextEngines(engines, 2, due + POLL_MILLIS))
                .extracting(Engine::id)
                .containsExactly("c", "d");

        // The late order was for older weights: it is over, and the engine is the next again.
        plan.onNotLoading("a");
        assertThat(plan.nextEngines(engines, 2, due + 2 * POLL_MILLIS))
                .extracting(Engine::id)
                .containsExactly("a", "c");
    }

    /** Guards against engines that are never ordered, since those that send no report stay the next ones. */
    @Test
    void enginesThatSendNoReportLeaveTheirPlacesToOthers() {
        List<Engine> engines = List.of(new Engine("a", 1, 0), new Engine("b", 1, 0), new Engine("c", 1, 9));

        long now = 0;
        for (int round = 0; round < 20; round++) {
            now += ANSWER_MILLIS;
            for (Engine next : plan.nextEngines(engines, 2, now)) {
                if (next.id().equals("c")) {
                    assertThat(round).isEqualTo(1);
                    return;
                }
                plan.onNotReported(next.id(), 2, now);
            }
        }
        throw new AssertionError("c was never the next");
    }

    /** Guards against calls without end, each with a record of the lease before it, to what is no engine. */
    @Test
    void anEngineThatSendsNoReportIsAskedAgainEverMoreRarely() {
        List<Engine> engines = List.of(new Engine("a", 1, 0));
        int asked = 0;
        for (long now = 0; now < 60_000; now += POLL_MILLIS) {
            for (Engine next : plan.nextEngines(engines, 2, now)) {
                plan.onNotReported(next.id(), 2, now);
                asked++;
            }
        }

        assertThat(asked).isBetween(10, 16);
    }

    /** An order that was accepted still counts as a load, whatever its engine reports. */
    @Test
    void engineThatLoadsByAnAcceptedOrderCountsAsLoading() {
        List<Engine> engines = List.of(new Engine("a", 1, 0), new Engine("b", 1, 0), new Engine("c", 1, 0));
        plan.onOrdered("a", 2, 0);
        plan.onOrdered("b", 2, 0);
        plan.onLoading("a", 2, 1_000);

        assertThat(plan.nextEngines(engines, 2, 1_000)).isEmpty();
    }

    /**
     * Engines may leave orders without a response and execute them late or never. Other engines must not wait for them,
     * and they are ordered again well within the time in which requests may start on old weights.
     */
    @Test
    void unansweredOrderDoesNotBlockOtherEngines() {
        List<Engine> engines = List.of(new Engine("a", 1, 0), new Engine("b", 1, 0), new Engine("c", 1, 0));
        plan.onOrdered("a", 2, 0);
        plan.onOrdered("b", 2, 0);
        plan.onUnanswered("a");

        assertThat(plan.nextEngines(engines, 2, 900)).extracting(Engine::id).containsExactly("c");
        plan.onOrdered("c", 2, 900);
        assertThat(plan.nextEngines(engines, 2, RolloutPlanner.UNANSWERED_TIMEOUT_MILLIS))
                .isEmpty();

        List<Engine> loaded = List.of(new Engine("a", 1, 0), new Engine("b", 2, 0), new Engine("c", 2, 0));
        assertThat(plan.nextEngines(loaded, 2, RolloutPlanner.UNANSWERED_TIMEOUT_MILLIS))
                .extracting(Engine::id)
                .containsExactly("a");
    }

    @Test
    void concurrentLoadsAreLimited() {
        List<Engine> engines = List.of(new Engine("a", 1, 0), new Engine("b", 1, 0), new Engine("c", 1, 5));
        plan.onOrdered("a", 2, 0);
        plan.onOrdered("b", 2, 0);

        assertThat(plan.nextEngines(engines, 2, 10)).isEmpty();
    }

    @Test
    void limitGrowsWithNumberOfEngines() {
        List<Engine> engines = IntStream.range(0, 40)
                .mapToObj(number -> new Engine("i-" + number, 1, 3))
                .toList();

        assertThat(plan.nextEngines(engines, 2, 0)).hasSize(11);
    }

    /**
     * Two versions become desired in quick succession; engines with the first must not load again while others serve
     * the oldest.
     */
    @Test
    void enginesWithOldestWeightsAreOrderedFirst() {
        List<Engine> engines = List.of(new Engine("a", 2, 0), new Engine("b", 1, 9), new Engine("c", 1, 8));

        assertThat(plan.nextEngines(engines, 3, 0)).extracting(Engine::id).containsExactly("c", "b");
    }

    @Test
    void finishedEngineMakesRoomForNextOne() {
        plan.onOrdered("a", 2, 0);
        plan.onOrdered("b", 2, 0);
        List<Engine> engines = List.of(new Engine("a", 2, 0), new Engine("b", 1, 0), new Engine("c", 1, 0));

        assertThat(plan.nextEngines(engines, 2, 3_000)).extracting(Engine::id).containsExactly("c");
    }

    /**
     * Both an order and its response are lost; without another order the engine would keep its old weights for good.
     */
    @Test
    void orderWithoutEffectIsSentAgain() {
        plan.onOrdered("a", 2, 0);
        List<Engine> engines = List.of(new Engine("a", 1, 0));

        assertThat(plan.nextEngines(engines, 2, RolloutPlanner.ORDER_TIMEOUT_MILLIS - 1))
                .isEmpty();
        assertThat(plan.nextEngines(engines, 2, RolloutPlanner.ORDER_TIMEOUT_MILLIS))
                .hasSize(1);
    }

    @Test
    void supersededVersionIsSkipped() {
        plan.onOrdered("a", 2, 0);
        List<Engine> engines = List.of(new Engine("a", 2, 0), new Engine("b", 1, 0));

        assertThat(plan.nextEngines(engines, 3, 2_000))
                .extracting(Engine::weights)
                .containsExactly(1L, 2L);
    }

    /**
     * No engine answers its orders. Those that were ordered first were ordered again and again, and the last of eight
     * got its first order after 17 s.
     */
    @ParameterizedTest
    @ValueSource(ints = {3, 8, 30})
    void enginesWithoutAnOrderComeBeforeThoseThatDoNotAnswer(int count) {
        List<Engine> engines = IntStream.range(0, count)
                .mapToObj(number -> new Engine("i-" + number, number % 2, 3))
                .toList();
        Map<String, Long> orderedAt = new HashMap<>();
        Map<Long, List<Engine>> unansweredAt = new HashMap<>();
        int mostAtOnce = plan.nextEngines(engines, 2, 0).size();
        long lastFirstOrderAt = (count + mostAtOnce - 1L) / mostAtOnce * (ANSWER_MILLIS + POLL_MILLIS);
        for (long now = 0; now <= lastFirstOrderAt; now += POLL_MILLIS) {
            unansweredAt.getOrDefault(now, List.of()).forEach(engine -> {
                plan.onUnanswered(engine.id());
                plan.onNotLoading(engine.id());
            });
            for (Engine next : plan.nextEngines(engines, 2, now)) {
                orderedAt.putIfAbsent(next.id(), now);
                plan.onOrdered(next.id(), 2, now);
                unansweredAt
                        .computeIfAbsent(now + ANSWER_MILLIS, unseen -> new ArrayList<>())
                        .add(next);
            }
        }

        assertThat(orderedAt).hasSize(count);
    }

    /** Engines whose reports never came stayed the next to be asked, and no other engine was ordered. */
    @ParameterizedTest
    @ValueSource(ints = {3, 8, 30})
    void enginesThatDoNotReportLeaveTheirPlacesToOthers(int count) {
        List<Engine> engines = IntStream.range(0, count)
                .mapToObj(number -> new Engine("i-" + number, 1, 0))
                .toList();
        List<Engine> silent = plan.nextEngines(engines, 2, 0);
        silent.forEach(engine -> plan.onNotReported(engine.id(), 2, 0));

        assertThat(plan.nextEngines(engines, 2, POLL_MILLIS)).isNotEmpty().doesNotContainAnyElementsOf(silent);
        assertThat(silent).allMatch(engine -> plan.isUnanswered(engine.id(), 2));
        List<Engine> othersLoaded = engines.stream()
                .map(engine -> silent.contains(engine) ? engine : new Engine(engine.id(), 2, 0))
                .toList();
        assertThat(plan.nextEngines(othersLoaded, 2, RolloutPlanner.REPEATED_UNANSWERED_TIMEOUT_MILLIS))
                .hasSameElementsAs(silent);
    }
}
