package org.rattanrudder.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PaceTest {
    /** The shortest bound on a configuration that a platform sets, in ms. */
    private static final long BOUND_MILLIS = 2_000;

    /** Guards against a call of each relay for each of many changes, and against few relays that learn of one late. */
    @ParameterizedTest
    @CsvSource({"0, 20, 0", "2, 20, 0", "8, 20, 0", "26, 216, 500", "32, 288, 500", "300, 400, 500"})
    void manyRelaysReadSeveralChangesAtOnce(int peers, long promptGap, long hintedGap) {
        assertThat(Pace.PROMPT.gapMillis().applyAsLong(peers)).isEqualTo(promptGap);
        assertThat(Pace.hintedGapMillis(peers)).isEqualTo(hintedGap);
    }

    /** Guards against a gap and a wait that together pass the bound on a configuration. */
    @Property
    void aConfigurationIsReadWithinItsBound(@ForAll @IntRange(max = 2_000) int peers) {
        long gap = Pace.PROMPT.gapMillis().applyAsLong(peers);
        long wait = Pace.PROMPT.waitMillis().applyAsLong(peers);

        assertThat(gap + wait).isLessThan(BOUND_MILLIS);
    }
}
