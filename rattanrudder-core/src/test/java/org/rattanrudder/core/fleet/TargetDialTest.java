package org.rattanrudder.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A quarter of the engines lose power. Connections to them stay unanswered, and for six seconds more than half of all
 * prompts waited out such a dial, nearly their whole objective, since every relay sent each prompt of that time there.
 * When one request at a time tried such an engine, 27 relays still spent 480 requests in five seconds on it.
 */
class TargetDialTest {
    private static final long NOW = 50_000;

    private final Target target = PlacementTest.target("i-dark", "north", 1);

    @ParameterizedTest
    @CsvSource({"0, false", "40, false", "81, true", "300, true"})
    void aTargetThatDoesNotAnswerADialIsLeftAloneBeforeTheDialHasFailed(long after, boolean paused) {
        target.onDialStarted(NOW);

        assertThat(target.isPaused(NOW + after)).isEqualTo(paused);
    }

    @Test
    void aTargetThatCouldNotBeReachedTakesNoRequestUntilADialHasOpened() {
        target.onDialStarted(NOW);
        target.onDialFinished(false, NOW + 400);
        assertThat(target.isPaused(NOW + 401)).isTrue();
        assertThat(target.isPaused(NOW + 60_000)).isTrue();

        target.onDialStarted(NOW + 60_000);

        assertThat(target.isPaused(NOW + 60_001)).isTrue();
    }

    @Test
    void aDialThatIsOverdueCountsAsFailedUntilItOpens() {
        target.onDialStarted(NOW);
        target.onDialOverdue();
        assertThat(target.isUnreachable()).isTrue();
        assertThat(target.isRedialDue()).as("one is under way").isFalse();

        target.onDialFinished(true, NOW + 300);

        assertThat(target.isUnreachable()).isFalse();
        assertThat(target.isPaused(NOW + 300)).isFalse();
    }

    @Test
    void aTargetThatIsReachedAgainTakesWorkAtOnce() {
        target.onDialStarted(NOW);
        target.onDialFinished(false, NOW + 400);
        assertThat(target.isRedialDue()).isTrue();
        target.onDialStarted(NOW + 700);
        target.onDialFinished(true, NOW + 702);

        assertThat(target.isPaused(NOW + 702)).isFalse();
        target.onDialStarted(NOW + 703);
        assertThat(target.isPaused(NOW + 704)).isFalse();
    }

    /** An answer on an older connection says more than a dial: the target may be out of connections. */
    @Test
    void aTargetThatAnswersIsThere() {
        target.onDialStarted(NOW);
        target.onDialFinished(false, NOW + 1);

        target.recordSuccess(0, NOW + 2);

        assertThat(target.isPaused(NOW + 2)).isFalse();
        assertThat(target.isRedialDue()).isFalse();
    }

    @ParameterizedTest
    @CsvSource({"1, 250", "2, 500", "3, 1000", "4, 2000", "9, 2000"})
    void dialsThatFailGrowRarer(int failed, long millis) {
        for (int dial = 0; dial < failed; dial++) {
            target.onDialStarted(NOW);
            target.onDialFinished(false, NOW);
        }

        assertThat(target.redialDelayMillis()).isEqualTo(millis);
    }

    /** Others say that a target is gone: each relay looks for itself, but not over and over. */
    @Test
    void aTargetIsDialledOnSuspicionOnlyIfThatTellsSomethingNew() {
        assertThat(target.isProbeUseful(NOW)).isTrue();
        target.onDialStarted(NOW);
        assertThat(target.isProbeUseful(NOW + 1)).as("under way").isFalse();
        target.onDialFinished(true, NOW + 1);
        assertThat(target.isProbeUseful(NOW + 400)).as("seen lately").isFalse();
        assertThat(target.isProbeUseful(NOW + 501)).isTrue();
        target.onDialStarted(NOW + 501);
        target.onDialFinished(false, NOW + 502);
        assertThat(target.isProbeUseful(NOW + 9_000)).as("known to be gone").isFalse();
    }

    @Test
    void aRefusalOutlastsADialThatSucceeds() {
        target.onRejected(NOW);
        target.onDialStarted(NOW + 1);
        target.onDialFinished(true, NOW + 2);

        assertThat(target.isPaused(NOW + 3)).isTrue();
    }

    /** A relay on a squeezed link sees every dial take 200 ms; were it to give up after 100 it would serve nobody. */
    @Property
    void aRelayThatReachesAllTargetsSlowlyWaitsLonger(@ForAll @IntRange(min = 0, max = 400) int usual) {
        DialTimeout patience = new DialTimeout();
        assertThat(patience.millis()).isEqualTo(DialTimeout.LEAST_MILLIS);
        for (int dial = 0; dial < 40; dial++) {
            patience.recordOpened(usual);
        }

        assertThat(patience.millis()).isBetween(DialTimeout.LEAST_MILLIS, DialTimeout.MAX_MILLIS);
        assertThat(patience.millis()).isGreaterThanOrEqualTo(Math.min(DialTimeout.MAX_MILLIS, usual));
    }
}
