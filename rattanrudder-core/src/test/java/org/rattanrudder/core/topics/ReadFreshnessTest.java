package org.rattanrudder.core.topics;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ReadFreshnessTest {
    private static final long ASKED = 10_000;

    /** Guards against a reader that takes itself for current by an answer that holds only what there was before it. */
    @ParameterizedTest
    @CsvSource({"10000, 0", "10003, 3", "11200, 1200"})
    void aReadProvesOnlyWhatWasThereWhenItWasAskedFor(long answeredAt, long ageMillis) {
        ReadFreshness freshness = new ReadFreshness(0);

        freshness.onReadToEnd(ASKED);

        assertThat(freshness.ageMillis(answeredAt)).isEqualTo(ageMillis);
    }

    /** Guards against an answer to an earlier call that makes the reader look older than it is. */
    @ParameterizedTest
    @CsvSource({"9000, 500", "10500, 0"})
    void theAgeNeverGrowsByAnAnswer(long askedAt, long ageMillis) {
        ReadFreshness freshness = new ReadFreshness(0);
        freshness.onReadToEnd(ASKED);

        freshness.onReadToEnd(askedAt);

        assertThat(freshness.ageMillis(10_500)).isEqualTo(ageMillis);
    }
}
