package org.rattanrudder.core.topics;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.time.Moment;

class ReadFreshnessTest {
    private static final long ASKED = 10_000;
    private static final long WAIT = 1_000;

    /** Guards against a reader that takes itself for current by an answer that may be older than its wait. */
    @ParameterizedTest
    @CsvSource({"11000, 0", "11200, 200", "10999, 999", "10003, 3"})
    void anEmptyPollProvesItsWaitOnlyOnceThatIsOver(long answeredAt, long ageMillis) {
        ReadFreshness freshness = new ReadFreshness(0);

        freshness.onEmptyPoll(new Moment(ASKED, ASKED), WAIT, new Moment(answeredAt, answeredAt));

        assertThat(freshness.ageMillis(answeredAt)).isEqualTo(ageMillis);
    }

    /** Guards against a jump of the time of day that is taken for the end of a poll's wait. */
    @Test
    void anEmptyAnswerAfterAJumpMayHaveComeBeforeItsWaitWasOver() {
        ReadFreshness freshness = new ReadFreshness(0);

        freshness.onEmptyPoll(new Moment(ASKED, ASKED), WAIT, new Moment(ASKED + 10, ASKED + 3_010));

        assertThat(freshness.ageMillis(ASKED + 3_010)).isEqualTo(3_010);
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
