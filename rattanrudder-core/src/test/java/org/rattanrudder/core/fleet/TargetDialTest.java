package org.rattanrudder.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A quarter of the engines lose power, and connections to them stay unanswered. When every relay kept sending prompts
 * there, more than half of all prompts during six seconds waited for such a dial, for nearly their whole objective.
 * When one request at a time tried such an engine, 27 relays still spent 480 requests in five seconds on it.
 */
class TargetDialTest {
    private static final long NOW = 50_000;

    private final Target target = PlacementTest.target("i-dark", "north", 1);

    @ParameterizedTest
    @CsvSource({"0, false", "40, false", "81, true", "300, true"})
    void targetIsPausedWhileDialIsPendingForTooLong(long after, boolean paused) {
        target.onDialStarted(NOW);

        assertThat(target.isPaused(NOW + after)).isEqualTo(paused);
    }

    @Test
    void unreachableTargetGetsNoRequestsUntilDialSucceeds() {
        target.onDialStarted(NOW);
        target.onDialFinished(false, NOW + 400);
        assertThat(target.isPaused(NOW + 401)).isTrue();
        assertThat(target.isPaused(NOW + 60_000)).isTrue();

        target.onDialStarted(NOW + 60_000);

        assertThat(target.isPaused(NOW + 60_001)).isTrue();
    }

    @Test
    void overdueDialCountsAsFailedUntilItOpens() {
        target.onDialStarted(NOW);
        target.onDialOverdue();
        assertThat(target.isUnreachable()).isTrue();
        assertThat(target.isRedialDue()).as("a dial is pending").isFalse();

        target.onDialFinished(true, NOW + 300);

        assertThat(target.isUnreachable()).isFalse();
        assertThat(target.isPaused(NOW + 300)).isFalse();
    }

    @Test
    void targetThatIsReachableAgainAcceptsRequestsAtOnce() {
        target.onDialStarted(NOW);
        target.onDialFinished(false, NOW + 400);
        assertThat(target.isRedialDue()).isTrue();
        target.onDialStarted(NOW + 700);
        target.onDialFinished(true, NOW + 702);

        assertThat(target.isPaused(NOW + 702)).isFalse();
        target.onDialStarted(NOW + 703);
        assertThat(target.isPaused(NOW + 704)).isFalse();
    }

    /** A response on an existing connection outweighs a failed dial: the target may have run out of connections. */
    @Test
    void responseMarksTargetReachable() {
        target.onDialStarted(NOW);
        target.onDialFinished(false, NOW + 1);

        target.recordSuccess(0, NOW + 2);

        assertThat(target.isPaused(NOW + 2)).isFalse();
        assertThat(target.isRedialDue()).isFalse();
    }

    @ParameterizedTest
    @CsvSource({"1, 250", "2, 500", "3, 1000", "4, 2000", "9, 2000"})
    void redialDelayGrowsWithConsecutiveFailures(int failed, long millis) {
        for (int dial = 0; dial < failed; dial++) {
            target.onDialStarted(NOW);
            target.onDialFinished(false, NOW);
        }

        assertThat(target.redialDelayMillis()).isEqualTo(millis);
    }

    /** Peers report a target as unreachable: each relay probes it itself, but not repeatedly. */
    @Test
    void probeIsUsefulOnlyIfNotDialledRecently() {
        assertThat(target.isProbeUseful(NOW)).isTrue();
        target.onDialStarted(NOW);
        assertThat(target.isProbeUseful(NOW + 1)).as("dial pending").isFalse();
        target.onDialFinished(true, NOW + 1);
        assertThat(target.isProbeUseful(NOW + 400)).as("dialled recently").isFalse();
        assertThat(target.isProbeUseful(NOW + 501)).isTrue();
        target.onDialStarted(NOW + 501);
        target.onDialFinished(false, NOW + 502);
        assertThat(target.isProbeUseful(NOW + 9_000))
                .as("known to be unreachable")
                .isFalse();
    }

    @Test
    void rejectionPauseOutlastsSuccessfulDial() {
        target.onRejected(NOW);
        target.onDialStarted(NOW + 1);
        target.onDialFinished(true, NOW + 2);

        assertThat(target.isPaused(NOW + 3)).isTrue();
    }

    /** On an overloaded link every dial takes 200 ms; a relay that gave up after 100 ms could serve no requests. */
    @Property
    void dialTimeoutGrowsWithDialTimes(@ForAll @IntRange(min = 0, max = 400) int dialMillis) {
        DialTimeout timeout = new DialTimeout();
        assertThat(timeout.millis()).isEqualTo(DialTimeout.MIN_MILLIS);
        for (int dial = 0; dial < 40; dial++) {
            timeout.recordOpened(dialMillis);
        }

        assertThat(timeout.millis()).isBetween(DialTimeout.MIN_MILLIS, DialTimeout.MAX_MILLIS);
        assertThat(timeout.millis()).isGreaterThanOrEqualTo(Math.min(DialTimeout.MAX_MILLIS, dialMillis));
    }
}
