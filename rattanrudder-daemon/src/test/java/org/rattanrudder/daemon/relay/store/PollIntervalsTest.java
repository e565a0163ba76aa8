package org.rattanrudder.daemon.relay.store;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PollIntervalsTest {
    /** The shortest bound that a platform sets for the propagation of a configuration. */
    private static final long BOUND_MILLIS = 2_000;

    /** Many relays must not make a call each for every change; few relays must not receive a change late. */
    @ParameterizedTest
    @CsvSource({"0, 20, 0", "2, 20, 0", "8, 20, 0", "26, 216, 500", "32, 288, 500", "300, 400, 500"})
    void gapsGrowWithTheNumberOfPeers(int peers, long promptGap, long hintedGap) {
        assertThat(PollIntervals.PROMPT.gapMillis().applyAsLong(peers)).isEqualTo(promptGap);
        assertThat(PollIntervals.hintedGapMillis(peers)).isEqualTo(hintedGap);
    }

    /** A gap and a wait together must not exceed the bound for a configuration. */
    @Property
    void gapPlusWaitStaysWithinTheConfigurationBound(@ForAll @IntRange(max = 2_000) int peers) {
        long gap = PollIntervals.PROMPT.gapMillis().applyAsLong(peers);
        long wait = PollIntervals.PROMPT.waitMillis().applyAsLong(peers);

        assertThat(gap + wait).isLessThan(BOUND_MILLIS);
    }
}
