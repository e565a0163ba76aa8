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
            @ForAll @LongRange(max = 20_000) long wanted,
            @ForAll @IntRange(max = 2) int silent) {
        long interval = ReadTiming.intervalMillis(bound, wanted);
        long answer = silent == 2 ? 100 : 200;

        assertThat(inForceAfter(interval, silent, answer)).isLessThanOrEqualTo(bound);
    }

    /** Guards against a long interval after a pause that was long already. */
    @Property
    void aRecordIsInForceWithinTheShortestBoundAfterAPauseToo(@ForAll @IntRange(max = 3) int silent) {
        assertThat(inForceAfter(LAST_PAUSE_MILLIS, silent, 250)).isLessThanOrEqualTo(2_000);
    }

    /** Guards against reads that are more often than the bound needs: the store's calls are limited and priced. */
    @ParameterizedTest
    @CsvSource({"2000, 1000, 1000", "2000, 1500, 1400", "3000, 1500, 1500", "3000, 2600, 2400", "700, 1500, 200"})
    void anIntervalIsShortenedNoFurtherThanTheBoundNeeds(long bound, long wanted, long interval) {
        assertThat(ReadTiming.intervalMillis(bound, wanted)).isEqualTo(interval);
    }

    /** Returns when a record is in force that was written just after a read was looked at, in ms from then. */
    private static long inForceAfter(long interval, int silent, long answer) {
        long askedAt = silent == 0
                ? interval
                : interval + RepeatPolicy.repeatAfterMillis(silent).orElseThrow();
        return askedAt + answer + ReadTiming.APPLY_MILLIS;
    }
}
