package org.rattanrudder.core.topics;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ReadTimingTest {
    private static final long LAST_PAUSE_MILLIS = 800;

    /** Guards against a record that is in force too late, since the waits on silent connections weren't added up. */
    @Property
    void aRecordIsInForceWithinTheBoundThoughOneOrTwoConnectionsAreSilent(
            @ForAll @LongRange(min = 1_000, max = 20_000) long bound,
            @ForAll @LongRange(max = 20_000) long wantedGap,
            @ForAll @LongRange(max = 20_000) long wantedWait,
            @ForAll @IntRange(max = 2) int silent) {
        ReadTiming timing = ReadTiming.within(bound, wantedGap, wantedWait);
        long answer = silent == 2 ? 100 : 200;

        assertThat(inForceAfter(timing.gapMillis(), timing.waitMillis(), silent, answer))
                .isLessThanOrEqualTo(bound);
    }

    /** Guards against a long wait after a pause that was long already. */
    @Property
    void aRecordIsInForceWithinTheShortestBoundAfterAPauseToo(@ForAll @IntRange(max = 3) int silent) {
        assertThat(inForceAfter(LAST_PAUSE_MILLIS, 0, silent, 250)).isLessThanOrEqualTo(2_000);
    }

    /** Guards against polls that are more often than the bound needs: the store's calls are limited and priced. */
    @ParameterizedTest
    @CsvSource({"2000, 400, 400, 1000", "2000, 1200, 1200, 200", "3000, 400, 400, 1500", "3000, 1800, 1800, 600"})
    void gapAndWaitAreShortenedNoFurtherThanTheBoundNeeds(long bound, long wantedGap, long gap, long wait) {
        assertThat(ReadTiming.within(bound, wantedGap, 1_500)).isEqualTo(new ReadTiming(gap, wait));
    }

    /** Returns when a record is in force that was written just after an empty answer was formed, in ms. */
    private static long inForceAfter(long gap, long wait, int silent, long answer) {
        long polledAt = answer / 2 + gap;
        long askedAt = silent == 0
                ? polledAt
                : polledAt + RepeatPolicy.repeatAfterMillis(silent, wait).orElseThrow();
        return askedAt + answer + ReadTiming.APPLY_MILLIS;
    }
}
