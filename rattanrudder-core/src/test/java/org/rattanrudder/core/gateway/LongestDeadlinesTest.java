package org.rattanrudder.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LongestDeadlinesTest {
    private final LongestDeadlines deadlines = new LongestDeadlines();

    @Test
    void longestDeadlineOfARouteCounts() {
        deadlines.record("check", 4_000, 0);
        deadlines.record("check", 9_000, 10);
        deadlines.record("check", 1_000, 20);
        deadlines.record("audit", 30_000, 30);

        assertThat(deadlines.millis("check", 40)).isEqualTo(9_000);
        assertThat(deadlines.millis("post", 40)).isZero();
    }

    /** One caller that would wait for a day must not count for all others for good. */
    @Test
    void longDeadlineIsForgotten() {
        deadlines.record("check", 86_400_000, 0);
        assertThat(deadlines.millis("check", 10)).isEqualTo(LongestDeadlines.REMEMBERED_MILLIS);

        deadlines.record("check", 4_000, LongestDeadlines.REMEMBERED_MILLIS);
        assertThat(deadlines.millis("check", LongestDeadlines.REMEMBERED_MILLIS))
                .isEqualTo(4_000);
    }
}
