package org.rattanrudder.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class RecentDurationsTest {
    private final RecentDurations durations = new RecentDurations();

    private void record(int count, long millis) {
        for (int i = 0; i < count; i++) {
            durations.record(millis);
        }
    }

    /** Guards against a limit that is taken from a few requests. */
    @Test
    void fewRequestsGiveNoLimit() {
        record(RecentDurations.MIN_SAMPLES - 1, 100);
        assertThat(durations.limitMillis()).isEmpty();

        record(1, 100);

        assertThat(durations.limitMillis()).isEqualTo(OptionalLong.of(125));
    }

    /** Guards against a limit below the longest request that is remembered, and against one that is never forgotten. */
    @Test
    void theLongestOfTheLastRequestsCounts() {
        durations.record(1_000);
        record(RecentDurations.REMEMBERED - 1, 100);
        assertThat(durations.limitMillis()).isEqualTo(OptionalLong.of(1_250));

        record(1, 100);

        assertThat(durations.limitMillis()).isEqualTo(OptionalLong.of(125));
    }

    /** Guards against a route whose streams are all refused in a stop since one of its last requests took long. */
    @Test
    void aFewLongRequestsAreUnusual() {
        record(RecentDurations.REMEMBERED - 4, 100);
        record(4, 9_000);
        assertThat(durations.usualLimitMillis()).hasValue(125);

        record(1, 9_000);

        assertThat(durations.usualLimitMillis()).hasValue(11_250);
    }
}
