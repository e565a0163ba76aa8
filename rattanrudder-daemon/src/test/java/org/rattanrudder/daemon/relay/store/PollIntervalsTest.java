package org.rattanrudder.daemon.relay.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.topics.RepeatPolicy;

class PollIntervalsTest {
    /** The shortest bound that a platform sets for the propagation of a configuration. */
    private static final long BOUND_MILLIS = 2_000;

    /** Time to answer a call on a new connection and to put in force what it brings. */
    private static final long ANSWER_MILLIS = 250;

    /** Many relays must not make a call each for every change; few relays must not receive a change late. */
    @ParameterizedTest
    @CsvSource({"0, 1000, 0", "2, 1200, 0", "8, 1400, 0", "26, 1400, 500", "300, 1400, 500"})
    void intervalsGrowWithTheNumberOfPeers(int peers, long prompt, long hintedGap) {
        assertThat(PollIntervals.prompt(() -> BOUND_MILLIS).intervalMillis().applyAsLong(peers))
                .isEqualTo(prompt);
        assertThat(PollIntervals.hintedGapMillis(peers)).isEqualTo(hintedGap);
    }

    /** Guards against many relays that wait for a rare record and make more calls than the store takes. */
    @ParameterizedTest
    @CsvSource({"0, 300", "2, 300", "21, 420", "32, 640", "299, 1000"})
    void aPendingRecordIsPolledForTheLessOftenTheMoreRelaysDo(int peers, long interval) {
        assertThat(PollIntervals.pendingMillis(peers, 0)).isEqualTo(interval);
    }

    /** Guards against frequent polls for good while one target can't be brought up to date. */
    @ParameterizedTest
    @CsvSource({"0, 300", "1200, 300", "4000, 1000", "48000, 12000", "10000000, 12000"})
    void aPendingRecordIsPolledForTheLessOftenTheLongerThereIsNoProgress(long sinceProgress, long interval) {
        assertThat(PollIntervals.pendingMillis(1, sinceProgress)).isEqualTo(interval);
    }

    /** An interval and the repeats of a call on silent connections together must not exceed the bound. */
    @Property
    void intervalPlusRepeatsStayWithinTheBound(
            @ForAll @IntRange(max = 2_000) int peers,
            @ForAll @LongRange(min = 1_000, max = 10_000) long bound,
            @ForAll @IntRange(min = 1, max = 2) int silent) {
        for (PollIntervals intervals : List.of(PollIntervals.prompt(() -> bound), PollIntervals.batched(() -> bound))) {
            long interval = intervals.intervalMillis().applyAsLong(peers);
            long repeatedAfter = RepeatPolicy.repeatAfterMillis(silent).orElseThrow();

            assertThat(interval + repeatedAfter + ANSWER_MILLIS).isLessThanOrEqualTo(bound);
        }
    }
}
