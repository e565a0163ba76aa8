package org.rattanrudder.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LongestDeadlinesTest {
    private final LongestDeadlines deadlines = new LongestDeadlines();

    private static final long REMEMBERED = LongestDeadlines.REMEMBERED_MILLIS;

    @Test
    void longestDeadlineOfARouteCounts() {
        deadlines.record("check", "mine", 4_000, 0);
        deadlines.record("check", "mine", 9_000, 10);
        deadlines.record("check", "mine", 1_000, 20);
        deadlines.record("audit", "mine", 30_000, 30);

        assertThat(deadlines.millis("check", "mine", 40)).isEqualTo(9_000);
        assertThat(deadlines.millis("post", "mine", 40)).isZero();
    }

    /** One customer that would wait for a day must not have the streams of others refused. */
    @Test
    void longDeadlineCountsForItsCustomerAlone() {
        deadlines.record("check", "patient", 86_400_000, 0);
        deadlines.record("check", "mine", 4_000, 0);

        assertThat(deadlines.millis("check", "patient", 10)).isEqualTo(REMEMBERED);
        assertThat(deadlines.millis("check", "mine", 10)).isEqualTo(4_000);
    }

    /** A deadline that was named again and again must not be missing between two periods. */
    @Test
    void deadlineIsRememberedAcrossPeriodsAndThenForgotten() {
        deadlines.record("check", "mine", 9_000, REMEMBERED - 1);
        deadlines.record("check", "mine", 1_000, 2 * REMEMBERED - 1);

        assertThat(deadlines.millis("check", "mine", 2 * REMEMBERED)).isEqualTo(9_000);
        assertThat(deadlines.millis("check", "mine", 3 * REMEMBERED)).isEqualTo(1_000);
        assertThat(deadlines.millis("check", "mine", 5 * REMEMBERED)).isZero();
    }
}
