package org.rattanrudder.core.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanrudder.core.model.Digest;

class LogWriterTest {
    private static final long WRITER = 7;
    private static final long RETENTION_MICROS = 3_600_000_000L;
    private static final LogWriterSettings SETTINGS =
            new LogWriterSettings(10_000, 3, 10_000, 8, 200_000, 500_000, 20_000, 160_000);

    private final LogWriter writer = new LogWriter(LogStream.CLAIMS, WRITER, SETTINGS, new Random(1));
    private final List<LogBatch> appended = new ArrayList<>();
    private long now = 1_000_000;

    /**
     * Failure: the append of a claim takes effect, its response is lost, and the writer appends it again as a new
     * batch, so that the claim takes effect twice.
     */
    @Test
    void aBatchWithAnUnknownResultIsNotRetriedWhenItIsReadBack() {
        offer(1);
        sendDue();
        writer.onAppendResult(1, new AppendResult.Unknown(), now);
        writer.onRecords(List.of(new LogRecord(1, appended.get(0))), true);
        advance(10 * SETTINGS.readBackTimeoutMicros());

        assertThat(appended).hasSize(1);
        assertThat(writer.pendingEntries()).isZero();
    }

    /**
     * Failure: a claim is lost because its append never arrived and isn't retried; or the first copy arrives after the
     * retry, and a reader applies both.
     */
    @Test
    void aBatchThatIsNotInTheLogIsRetriedWithItsSequenceAndReadersApplyOneCopy() {
        offer(1);
        sendDue();
        writer.onAppendResult(1, new AppendResult.Unknown(), now);
        offer(2);
        advance(SETTINGS.readBackTimeoutMicros());
        assertThat(appended).as("not before a read to the end").hasSize(1);
        writer.onRecords(List.of(), true);
        sendDue();
        assertThat(appended).hasSize(2);
        assertThat(appended.get(1)).isEqualTo(appended.get(0));
        writer.onAppendResult(1, new AppendResult.Appended(5), now);
        advance(SETTINGS.minSendIntervalMicros());
        assertThat(appended.get(2).sequence()).isEqualTo(2);

        BatchDeduplicator reader = new BatchDeduplicator(RETENTION_MICROS);
        assertThat(List.of(appended.get(1), appended.get(2), appended.get(0)).stream()
                        .map(batch -> reader.admit(new LogRecord(9, batch), now)))
                .containsExactly(true, true, false);
    }

    @Test
    void aRefusedEntryCanBeRetractedAndOneWithAnUnknownResultCannot() {
        LogEntry refused = offer(1);
        sendDue();
        assertThat(writer.retract(refused)).as("in flight").isFalse();
        writer.onAppendResult(1, new AppendResult.Refused(), now);
        assertThat(writer.retract(refused)).as("refused").isTrue();

        LogEntry unknown = offer(2);
        advance(SETTINGS.maxBackoffMicros());
        writer.onAppendResult(1, new AppendResult.Unknown(), now);
        assertThat(writer.retract(unknown)).as("lost").isFalse();
        advance(SETTINGS.readBackTimeoutMicros());
        writer.onRecords(List.of(), true);
        sendDue();
        writer.onAppendResult(1, new AppendResult.Refused(), now);
        assertThat(writer.retract(unknown))
                .as("its second copy refused, its first still out")
                .isFalse();
    }

    /**
     * Failure: callers hang until their deadlines during an outage of the log, because the queue accepts entries that
     * can't be written.
     */
    @ParameterizedTest
    @ValueSource(strings = {"refused", "lost", "silent"})
    void anOutageIsReportedWithinTheTimeoutAndItsEndIsDetected(String kind) {
        offer(1);
        sendDue();
        for (long waited = 0; waited < SETTINGS.unavailableTimeoutMicros(); waited += 10_000) {
            if (!kind.equals("silent")) {
                writer.onAppendResult(
                        1, kind.equals("lost") ? new AppendResult.Unknown() : new AppendResult.Refused(), now);
            }
            advance(10_000);
        }
        assertThat(writer.offer(entry(2), now)).isEqualTo(LogWriter.OfferResult.UNAVAILABLE);

        writer.onRecords(List.of(new LogRecord(1, appended.get(0))), true);
        writer.onAppendResult(1, new AppendResult.Appended(1), now);
        advance(SETTINGS.maxBackoffMicros());
        writer.onAppendResult(1, new AppendResult.Appended(1), now);
        assertThat(writer.offer(entry(3), now)).isEqualTo(LogWriter.OfferResult.QUEUED);
    }

    @Test
    void anUnreadableLogIsReportedAtOnceSinceNothingCanBeReadBack() {
        writer.onReadFailed();
        assertThat(writer.offer(entry(1), now)).isEqualTo(LogWriter.OfferResult.UNAVAILABLE);
        writer.onRecords(List.of(), true);
        assertThat(writer.offer(entry(1), now)).isEqualTo(LogWriter.OfferResult.QUEUED);
    }

    @Test
    void writersThatWereIdleForLongerThanTheLogRetentionAreEvicted() {
        BatchDeduplicator reader = new BatchDeduplicator(1_000);
        for (long other = 0; other < 100; other++) {
            reader.admit(new LogRecord(other + 1, new LogBatch(other, 1, List.of())), other * 100);
        }
        assertThat(reader.writerCount()).isEqualTo(11);
    }

    @Test
    void afterAnOutageWithAnEmptyQueueOneEntryProbesTheLog() {
        LogEntry entry = offer(1);
        sendDue();
        writer.onAppendResult(1, new AppendResult.Refused(), now);
        writer.retract(entry);
        assertThat(writer.isAvailable(now)).isTrue();
        now += SETTINGS.unavailableTimeoutMicros();

        assertThat(writer.offer(entry(2), now)).isEqualTo(LogWriter.OfferResult.QUEUED);
        assertThat(writer.offer(entry(3), now)).isEqualTo(LogWriter.OfferResult.UNAVAILABLE);
    }

    @Test
    void newWorkMayFillHalfOfTheQueueAndOutcomesTheRest() {
        for (int number = 0; number < 4; number++) {
            assertThat(writer.offer(entry(number), now)).isEqualTo(LogWriter.OfferResult.QUEUED);
        }
        assertThat(writer.offer(entry(4), now)).isEqualTo(LogWriter.OfferResult.FULL);
        for (int number = 4; number < 8; number++) {
            assertThat(writer.record(entry(number))).isEqualTo(LogWriter.OfferResult.QUEUED);
        }
        assertThat(writer.record(entry(8))).isEqualTo(LogWriter.OfferResult.FULL);
    }

    @Test
    void batchesAreLimitedInEntriesAndBytesAndSpacedByTheSendInterval() {
        byte[] large = new byte[SETTINGS.maxBatchBytes()];
        writer.offer(new LogEntry.KeyOutcome(Digest.of("large"), 201, List.of(), large), now);
        for (int number = 1; number <= 3; number++) {
            offer(number);
            sendDue();
            writer.onAppendResult(number, new AppendResult.Appended(number), now);
        }
        assertThat(appended.get(0).entries()).as("one that is large").hasSize(1);
        offer(4);
        sendDue();
        assertThat(appended).as("three after a pause, then the interval").hasSize(3);
        advance(SETTINGS.minSendIntervalMicros());
        assertThat(appended).hasSize(4);
        writer.onAppendResult(4, new AppendResult.Appended(4), now);
        offer(5);
        offer(7);
        sendDue();
        assertThat(appended).as("one more for each interval").hasSize(4);
        offer(6);
        sendDue();
        assertThat(appended.get(4).entries()).as("a full batch goes at once").hasSize(3);
    }

    /**
     * Failure: with more writers than the log's rate limit allows for, most appends are refused and claims wait in
     * backoff for seconds.
     */
    @Test
    void aRefusedWriterIncreasesItsSendIntervalAndRecovers() {
        assertThat(sentWithin(1_000_000)).isGreaterThan(90);
        for (int refusal = 0; refusal < 4; refusal++) {
            writer.offer(entry(1), now);
            advance(SETTINGS.maxBackoffMicros());
            writer.onAppendResult(appended.get(appended.size() - 1).sequence(), new AppendResult.Refused(), now);
        }
        advance(SETTINGS.maxBackoffMicros());
        acknowledge();
        assertThat(sentWithin(300_000)).isLessThan(8);
        sentWithin(10_000_000);
        assertThat(sentWithin(1_000_000)).isGreaterThan(90);
    }

    /** Returns the number of batches sent while entries are always pending and every append succeeds. */
    private int sentWithin(long micros) {
        int before = appended.size();
        for (long end = now + micros; now < end; advance(1_000)) {
            writer.offer(entry(1), now);
            acknowledge();
        }
        return appended.size() - before;
    }

    private void acknowledge() {
        if (!appended.isEmpty()) {
            writer.onAppendResult(appended.get(appended.size() - 1).sequence(), new AppendResult.Appended(1), now);
        }
    }

    @Test
    void refusedAppendsAreRetriedWithExponentialBackoffAndJitter() {
        List<Long> first = retryTimes(new Random(1));
        List<Long> second = retryTimes(new Random(2));

        assertThat(first)
                .isNotEqualTo(second)
                .allSatisfy(wait -> assertThat(wait).isBetween(10_000L, SETTINGS.maxBackoffMicros()));
        assertThat(first.get(5)).isGreaterThanOrEqualTo(SETTINGS.maxBackoffMicros() / 2);
    }

    /**
     * Responses are lost, copies arrive late and in any order, appends are refused. A reader that misses, duplicates or
     * reorders an entry would lose, duplicate or reorder claims and their outcomes.
     */
    @Property(seed = "21", tries = 400)
    void everyEntryTakesEffectOnceAndInOrderDespiteFailedAppends(@ForAll long seed) {
        LogWriterSimulation log = new LogWriterSimulation(new Random(seed), SETTINGS);
        for (int step = 0; step < 300; step++) {
            log.step();
        }
        log.completeAll();

        assertThat(log.read).isEqualTo(log.accepted);
    }

    private List<Long> retryTimes(Random random) {
        LogWriter refused = new LogWriter(LogStream.CLAIMS, WRITER, SETTINGS, random);
        List<Long> times = new ArrayList<>();
        refused.offer(entry(1), 0);
        for (long at = 0; times.size() < 8; at += 1000) {
            long sentAt = at;
            refused.sendDue(at, (stream, batch) -> {
                times.add(sentAt);
                refused.onAppendResult(1, new AppendResult.Refused(), sentAt);
            });
        }
        List<Long> waits = new ArrayList<>();
        for (int number = 1; number < times.size(); number++) {
            waits.add(times.get(number) - times.get(number - 1));
        }
        return waits;
    }

    private LogEntry offer(int number) {
        LogEntry entry = entry(number);
        assertThat(writer.offer(entry, now)).isEqualTo(LogWriter.OfferResult.QUEUED);
        return entry;
    }

    private void advance(long micros) {
        now += micros;
        sendDue();
    }

    private void sendDue() {
        writer.sendDue(now, (stream, batch) -> appended.add(batch));
    }

    static LogEntry entry(int number) {
        return new LogEntry.KeyRelease(new Digest(number, 0, 0, 0));
    }
}
