package org.rattanrudder.daemon.relay.store;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class PollScheduleTest {
    private static final long INTERVAL_MILLIS = 12_000;
    private static final PollIntervals INTERVALS = new PollIntervals(peers -> INTERVAL_MILLIS, 1);
    private static final long NOW = 100_000;

    private static PollSchedule schedule(int peers, double random) {
        return new PollSchedule(INTERVALS, now -> peers, () -> random);
    }

    /** Returns a schedule whose polls aren't spread any more. */
    private static PollSchedule steady(int peers) {
        PollSchedule schedule = schedule(peers, 0.5);
        schedule.onAnswered(0, 0);
        return schedule;
    }

    /** Guards against long intervals that hold back an expected record, and short ones that go on without end. */
    @ParameterizedTest
    @CsvSource({"0, 150", "4999, 150", "5000, 12000"})
    void anExpectedRecordIsPolledForOften(long sinceExpectedMillis, long interval) {
        PollSchedule schedule = steady(0);
        schedule.expectRecord(NOW);
        long now = NOW + sinceExpectedMillis;
        schedule.onPoll(now);

        assertThat(schedule.onAnswered(now, now)).isEqualTo(interval);
    }

    /** Guards against short intervals after the expected record has arrived. */
    @ParameterizedTest
    @CsvSource({"false, 140", "true, 11990"})
    void noRecordIsExpectedOnceOneWasFound(boolean found, long untilNext) {
        PollSchedule schedule = steady(0);
        schedule.expectRecord(NOW);
        schedule.onPoll(NOW);
        if (found) {
            schedule.onRecordsFound();
        }

        assertThat(schedule.onAnswered(NOW, NOW + 10)).isEqualTo(untilNext);
    }

    /** Guards against a record that is read late since the time that answers take isn't counted in the interval. */
    @ParameterizedTest
    @CsvSource({"0, 12000", "900, 11100", "11990, 20", "15000, 20"})
    void theIntervalCountsFromWhenAnAnswerWasAskedFor(long answerMillis, long untilNext) {
        assertThat(steady(0).onAnswered(NOW, NOW + answerMillis)).isEqualTo(untilNext);
    }

    /**
     * Guards against hints that put a poll off or set one in the past, and against a call of every relay for each
     * change: with many peers, 500 ms pass between an answer and the next call.
     */
    @ParameterizedTest
    @CsvSource({"2, 0, 0", "2, 300, 0", "20, 0, 500", "20, 300, 200", "20, 700, 0"})
    void aHintBringsTheNextPollForward(int peers, long sinceAnswerMillis, long delayMillis) {
        PollSchedule schedule = steady(peers);

        assertThat(schedule.onAnswered(NOW, NOW)).isEqualTo(INTERVAL_MILLIS);

        assertThat(schedule.onHint(NOW + sinceAnswerMillis)).isEqualTo(delayMillis);
    }

    /** Guards against a poll for each report of a peer that is ahead of the store for good. */
    @ParameterizedTest
    @CsvSource({"false, 1000", "true, 0"})
    void hintsLeadToFewPollsOnceOneWasInVain(boolean found, long delayMillis) {
        PollSchedule schedule = steady(2);
        schedule.onAnswered(NOW, NOW);
        schedule.onHint(NOW);
        schedule.onPoll(NOW);
        if (found) {
            schedule.onRecordsFound();
        }
        schedule.onAnswered(NOW, NOW);

        assertThat(schedule.onHint(NOW)).isEqualTo(delayMillis);
    }

    /** Guards against relays that poll at the same time from then on, as at a start: then none reads early. */
    @ParameterizedTest
    @CsvSource({"0, 6000", "0.5, 9000", "1, 12000"})
    void theNextIntervalIsSpreadAfterAHint(double random, long interval) {
        PollSchedule schedule = schedule(2, random);
        assertThat(schedule.onAnswered(0, 0)).isEqualTo(interval);
        assertThat(schedule.onAnswered(0, 0)).isEqualTo(INTERVAL_MILLIS);
        schedule.onHint(0);

        assertThat(schedule.onAnswered(NOW, NOW)).isEqualTo(interval);
    }

    /** Guards against a poll that is put off, or made in quick succession, while something waits for a record. */
    @ParameterizedTest
    @ValueSource(longs = {0, 100, 300, 900})
    void aPollBeginsWithinATimeOfTheLastOne(long sincePollMillis) {
        PollSchedule schedule = steady(0);
        schedule.onPoll(NOW);
        schedule.onAnswered(NOW, NOW);

        assertThat(schedule.pollWithin(300, NOW + sincePollMillis)).isEqualTo(Math.max(0, 300 - sincePollMillis));
    }

    /** Guards against a poll that is put off by whoever would be content with a later one. */
    @Test
    void aPollIsNeverPutOff() {
        PollSchedule schedule = steady(0);
        schedule.onPoll(NOW);
        schedule.onAnswered(NOW, NOW);
        schedule.pollWithin(300, NOW);

        assertThat(schedule.pollWithin(1_000, NOW)).isEqualTo(300);
    }
}
