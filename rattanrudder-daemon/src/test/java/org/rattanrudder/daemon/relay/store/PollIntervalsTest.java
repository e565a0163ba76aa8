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
    @CsvSource({"0, 20, 0", "2, 20, 0", "8, 20, 0", "26, 216, 500", "32, 288, 500", "300, 400, 500"})
    void gapsGrowWithTheNumberOfPeers(int peers, long promptGap, long hintedGap) {
        assertThat(PollIntervals.prompt(() -> BOUND_MILLIS).gapMillis().applyAsLong(peers))
                .isEqualTo(promptGap);
        assertThat(PollIntervals.hintedGapMillis(peers)).isEqualTo(hintedGap);
    }

    /** A gap, a wait and the repeat of a call on a silent connection together must not exceed the bound. */
    @Property
    void gapPlusWaitPlusRepeatsStayWithinTheBound(
            @ForAll @IntRange(max = 2_000) int peers,
            @ForAll @LongRange(min = 1_000, max = 10_000) long bound,
            @ForAll @IntRange(min = 1, max = 2) int silent) {
        for (PollIntervals intervals : List.of(PollIntervals.prompt(() -> bound), PollIntervals.batched(() -> bound))) {
            long gap = intervals.gapMillis().applyAsLong(peers);
            long wait = intervals.waitMillis().applyAsLong(peers);
            long repeatedAfter = RepeatPolicy.repeatAfterMillis(silent, wait).orElseThrow();

            assertThat(gap + repeatedAfter + ANSWER_MILLIS).isLessThanOrEqualTo(bound);
        }
    }
}
