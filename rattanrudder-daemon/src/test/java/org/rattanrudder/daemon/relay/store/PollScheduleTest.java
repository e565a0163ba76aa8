package org.rattanrudder.daemon.relay.store;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PollScheduleTest {
    private static final long GAP_MILLIS = 800;
    private static final long WAIT_MILLIS = 12_000;
    private static final PollIntervals INTERVALS = new PollIntervals(peers -> GAP_MILLIS, peers -> WAIT_MILLIS);
    private static final long NOW = 100_000;

    /** Guards against long polls that hold back an expected record, and against short ones that go on without end. */
    @ParameterizedTest
    @CsvSource({"0, 200", "4999, 200", "5000, 12000"})
    void anExpectedRecordIsPolledForWithShortWaits(long sinceExpectedMillis, long waitMillis) {
        PollSchedule schedule = new PollSchedule(INTERVALS, now -> 0);
        schedule.expectRecord(NOW);

        schedule.onPoll(NOW + sinceExpectedMillis);

        assertThat(schedule.waitMillis()).isEqualTo(waitMillis);
    }

    /** Guards against short polls after the expected record has arrived. */
    @ParameterizedTest
    @CsvSource({"false, 200", "true, 12000"})
    void noRecordIsExpectedOnceOneWasFound(boolean found, long waitMillis) {
        PollSchedule schedule = new PollSchedule(INTERVALS, now -> 0);
        schedule.expectRecord(NOW);
        schedule.onPoll(NOW + 10);
        if (found) {
            schedule.onRecordsFound();
        }

        schedule.onPoll(NOW + 20);

        assertThat(schedule.waitMillis()).isEqualTo(waitMillis);
    }

    /**
     * Guards against hints that put a poll off or set one in the past, and against a call of every relay for each
     * change: with many peers, 500 ms pass between an answer and the next call.
     */
    @ParameterizedTest
    @CsvSource({"2, 0, 0", "2, 300, 0", "20, 0, 500", "20, 300, 200", "20, 700, 0"})
    void aHintBringsTheNextPollForward(int peers, long sinceAnswerMillis, long delayMillis) {
        PollSchedule schedule = new PollSchedule(INTERVALS, now -> peers);

        assertThat(schedule.onAnswered(NOW)).isEqualTo(GAP_MILLIS);

        assertThat(schedule.hintedDelayMillis(NOW + sinceAnswerMillis)).isEqualTo(delayMillis);
    }

    /** Guards against a second call to a slow store, and against a wait for a connection that stays silent. */
    @ParameterizedTest
    @CsvSource({"600, false", "601, true"})
    void aPollIsStalledOnceItTakesLongerThanAnAnswer(long pendingMillis, boolean stalled) {
        PollSchedule schedule = new PollSchedule(INTERVALS, now -> 0);
        schedule.onPoll(NOW);

        assertThat(schedule.isStalled(NOW + pendingMillis)).isEqualTo(stalled);
    }
}
