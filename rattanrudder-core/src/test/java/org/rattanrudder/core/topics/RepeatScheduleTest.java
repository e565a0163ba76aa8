package org.rattanrudder.core.topics;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RepeatScheduleTest {
    private final RepeatSchedule schedule = new RepeatSchedule();

    /** Returns how many times a call is made that a store answers after a time. */
    private int callsBefore(long answerMillis) {
        int made = 1;
        for (OptionalLong next = schedule.repeatAfterMillis(made);
                next.isPresent() && next.getAsLong() < answerMillis;
                next = schedule.repeatAfterMillis(made)) {
            made++;
        }
        return made;
    }

    /** Guards against a slow store that gets four calls for each, from all relays in every cycle. */
    @ParameterizedTest
    @ValueSource(longs = {201, 400, 600, 1_400})
    void aSlowStoreIsAskedTwiceAtTheMostOnceThatIsKnown(long answerMillis) {
        schedule.onFirstCallAnswered(answerMillis);

        assertThat(callsBefore(answerMillis)).isEqualTo(answerMillis > RepeatSchedule.SLOW_ANSWER_MILLIS ? 2 : 1);
    }

    /** Guards against four calls for each of a store that answers none. */
    @Test
    void aStoreThatAnswersNothingIsAskedTwiceAtTheMostOnceThatIsKnown() {
        schedule.onUnanswered();

        assertThat(callsBefore(Long.MAX_VALUE)).isEqualTo(2);
    }

    /** Guards against a store that counts as slow for good, so that silent connections are noticed late. */
    @ParameterizedTest
    @ValueSource(longs = {0, 200})
    void anAnswerInTimeBringsUsualRepeatsBack(long answerMillis) {
        schedule.onFirstCallAnswered(600);
        assertThat(schedule.repeatAfterMillis(1)).hasValue(RepeatSchedule.SLOW_ANSWER_MILLIS);

        schedule.onFirstCallAnswered(answerMillis);

        assertThat(schedule.repeatAfterMillis(1)).hasValue(RepeatPolicy.LATE_ANSWER_MILLIS);
    }
}
