package org.rattanrudder.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.rollout.RolloutPlanner.Engine;

class RolloutPlanTest {
    private final RolloutPlanner plan = new RolloutPlanner();

    /**
     * Weights are named at noon. Engines that waited for their runs to end stood by for seconds, one after the other,
     * and a quarter of the service was missing for eleven seconds: those with the least work go first and go at once.
     */
    @Test
    void theLeastBusyGoFirstAndNoneWaitsForItsRuns() {
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

    /**
     * Engines leave orders unanswered for a while and may carry them out late or never. The others must not wait for
     * them, and they themselves are ordered again well within the time in which requests may begin on old weights.
     */
    @Test
    void anOrderWithoutAnAnswerKeepsNobodyWaiting() {
        List<Engine> engines = List.of(new Engine("a", 1, 0), new Engine("b", 1, 0), new Engine("c", 1, 0));
        plan.onOrdered("a", 2, 0);
        plan.onOrdered("b", 2, 0);
        plan.onUnanswered("a");

        assertThat(plan.nextEngines(engines, 2, 900)).extracting(Engine::id).containsExactly("c");
        plan.onOrdered("c", 2, 900);
        assertThat(plan.nextEngines(engines, 2, RolloutPlanner.UNANSWERED_MILLIS))
                .isEmpty();

        List<Engine> loaded = List.of(new Engine("a", 1, 0), new Engine("b", 2, 0), new Engine("c", 2, 0));
        assertThat(plan.nextEngines(loaded, 2, RolloutPlanner.UNANSWERED_MILLIS))
                .extracting(Engine::id)
                .containsExactly("a");
    }

    @Test
    void noMoreLoadAtOnceThanAllowed() {
        List<Engine> engines = List.of(new Engine("a", 1, 0), new Engine("b", 1, 0), new Engine("c", 1, 5));
        plan.onOrdered("a", 2, 0);
        plan.onOrdered("b", 2, 0);

        assertThat(plan.nextEngines(engines, 2, 10)).isEmpty();
    }

    @Test
    void aLargeServiceLoadsMoreAtOnce() {
        List<Engine> engines = IntStream.range(0, 40)
                .mapToObj(number -> new Engine("i-" + number, 1, 3))
                .toList();

        assertThat(plan.nextEngines(engines, 2, 0)).hasSize(11);
    }

    /** Two versions are named in a row, and engines with the first of them swap again while others serve the oldest. */
    @Test
    void theOldestWeightsGoFirst() {
        List<Engine> engines = List.of(new Engine("a", 2, 0), new Engine("b", 1, 9), new Engine("c", 1, 8));

        assertThat(plan.nextEngines(engines, 3, 0)).extracting(Engine::id).containsExactly("c", "b");
    }

    @Test
    void anEngineThatServesTheVersionMakesRoomForTheNext() {
        plan.onOrdered("a", 2, 0);
        plan.onOrdered("b", 2, 0);
        List<Engine> engines = List.of(new Engine("a", 2, 0), new Engine("b", 1, 0), new Engine("c", 1, 0));

        assertThat(plan.nextEngines(engines, 2, 3_000)).extracting(Engine::id).containsExactly("c");
    }

    /** The answer to an order is lost and so is the order: the engine would stay on old weights for good. */
    @Test
    void anOrderWithoutEffectIsGivenAgain() {
        plan.onOrdered("a", 2, 0);
        List<Engine> engines = List.of(new Engine("a", 1, 0));

        assertThat(plan.nextEngines(engines, 2, RolloutPlanner.ORDER_TIMEOUT_MILLIS - 1))
                .isEmpty();
        assertThat(plan.nextEngines(engines, 2, RolloutPlanner.ORDER_TIMEOUT_MILLIS))
                .hasSize(1);
    }

    @Test
    void aVersionThatWasOvertakenIsSkipped() {
        plan.onOrdered("a", 2, 0);
        List<Engine> engines = List.of(new Engine("a", 2, 0), new Engine("b", 1, 0));

        assertThat(plan.nextEngines(engines, 3, 2_000))
                .extracting(Engine::weights)
                .containsExactly(1L, 2L);
    }
}
