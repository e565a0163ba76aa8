package org.rattanrudder.core.topics;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RepeatScheduleTest {
    private static final long WAIT_MILLIS = 1_200;

    private final RepeatSchedule schedule = new RepeatSchedule();

    /** Makes a call that a store answers a time after its wait; returns how many times it was made. */
    private int callsFor(long lateMillis) {
        int made = 1;
        for (OptionalLong next = schedule.repeatAfterMillis(made, WAIT_MILLIS);
                next.isPresent() && next.getAsLong() < WAIT_MILLIS + lateMillis;
                next = schedule.repeatAfterMillis(made, WAIT_MILLIS)) {
            made++;
        }
        schedule.onFirstCallAnswered(WAIT_MILLIS + lateMillis, WAIT_MILLIS);
        return made;
    }

    /** Guards against a slow store that gets four calls for each, from all relays in every cycle. */
    @ParameterizedTest
    @ValueSource(longs = {201, 400, 600})
    void aSlowStoreIsAskedTwiceAtTheMostOnceThatIsKnown(long lateMillis) {
        callsFor(lateMillis);

        assertThat(callsFor(lateMillis)).isEqualTo(lateMillis > RepeatSchedule.SLOW_ANSWER_MILLIS ? 2 : 1);
    }

    /** Guards against a store that counts as slow for good, so that silent connections are noticed late. */
    @ParameterizedTest
    @ValueSource(longs = {0, 200})
    void anAnswerInTimeBringsUsualRepeatsBack(long lateMillis) {
        callsFor(600);
        schedule.onFirstCallAnswered(WAIT_MILLIS - 1, WAIT_MILLIS);
        assertThat(schedule.repeatAfterMillis(1, WAIT_MILLIS))
                .hasValue(WAIT_MILLIS + RepeatSchedule.SLOW_ANSWER_MILLIS);

        callsFor(lateMillis);

        assertThat(schedule.repeatAfterMillis(1, WAIT_MILLIS)).hasValue(WAIT_MILLIS + RepeatPolicy.LATE_ANSWER_MILLIS);
    }
}
