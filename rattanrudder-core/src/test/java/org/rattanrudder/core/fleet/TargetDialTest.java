package org.rattanrudder.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A quarter of the engines lose power. Connections to them stay unanswered, and for six seconds more than half of all
 * prompts waited out such a dial, nearly their whole objective, since every relay sent each prompt of that time there.
 */
class TargetDialTest {
    private static final long NOW = 50_000;

    private final Target target = PlacementTest.target("i-dark", "north", 1);

    @ParameterizedTest
    @CsvSource({"0, false", "40, false", "81, true", "300, true"})
    void aTargetThatDoesNotAnswerADialIsLeftAloneBeforeTheDialHasFailed(long after, boolean paused) {
        target.dialling(NOW);

        assertThat(target.isPaused(NOW + after)).isEqualTo(paused);
    }

    @Test
    void aTargetThatCouldNotBeReachedIsTriedByOneRequestAtATime() {
        target.dialling(NOW);
        target.dialled(false, NOW + 400);
        target.unreachable(NOW + 400);
        assertThat(target.isPaused(NOW + 500)).isTrue();
        assertThat(target.isPaused(NOW + 700)).isFalse();

        target.dialling(NOW + 700);

        assertThat(target.isPaused(NOW + 701)).isTrue();
    }

    @Test
    void aTargetThatIsReachedAgainTakesWorkAtOnce() {
        target.dialling(NOW);
        target.dialled(false, NOW + 400);
        target.unreachable(NOW + 400);
        target.dialling(NOW + 700);
        target.dialled(true, NOW + 702);

        assertThat(target.isPaused(NOW + 702)).isFalse();
        target.dialling(NOW + 703);
        assertThat(target.isPaused(NOW + 704)).isFalse();
    }

    @Test
    void aRefusalOutlastsADialThatSucceeds() {
        target.refused(NOW);
        target.dialling(NOW + 1);
        target.dialled(true, NOW + 2);

        assertThat(target.isPaused(NOW + 3)).isTrue();
    }
}
