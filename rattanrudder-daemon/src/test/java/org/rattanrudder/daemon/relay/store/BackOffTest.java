package org.rattanrudder.daemon.relay.store;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BackOffTest {
    private static final PollIntervals PROMPT = PollIntervals.prompt(() -> 2_000);

    private static long millis(PollIntervals intervals, int failures, double random) {
        return new BackOff(intervals.maxBackOffMillis(), () -> random).millis(failures);
    }

    /** Guards against rare topics that are retried as often as urgent ones while a store doesn't answer. */
    @ParameterizedTest
    @CsvSource({
        "0, 50, 50",
        "3, 400, 400",
        "4, 800, 800",
        "5, 800, 1600",
        "6, 800, 3200",
        "7, 800, 3200",
        "90, 800, 3200"
    })
    void aRareTopicBacksOffFurther(int failures, long prompt, long rare) {
        assertThat(millis(PROMPT, failures, 0)).isEqualTo(prompt);
        assertThat(millis(PollIntervals.RARE, failures, 0)).isEqualTo(rare);
    }

    /** Guards against relays that retry at the same time after an outage, or after they started together. */
    @Property
    void retriesAreSpreadUntilTheLimitIsReached(
            @ForAll @IntRange(max = 3) int failures, @ForAll @DoubleRange(max = 1) double random) {
        long shortest = millis(PROMPT, failures, 0);

        assertThat(millis(PROMPT, failures, 1)).isEqualTo(2 * shortest);
        assertThat(millis(PROMPT, failures, random)).isBetween(shortest, 2 * shortest);
    }

    /** Guards against a back-off beyond the time that is reserved for it in the bound of a record. */
    @Property
    void noBackOffIsLongerThanItsLimit(
            @ForAll @IntRange(max = 100) int failures, @ForAll @DoubleRange(max = 1) double random) {
        assertThat(millis(PROMPT, failures, random)).isLessThanOrEqualTo(800);
        assertThat(millis(PollIntervals.RARE, failures, random)).isLessThanOrEqualTo(3_200);
    }
}
