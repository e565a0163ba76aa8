package org.rattanrudder.core.log;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Simulates a writer and a reader on a log that randomly refuses, delays, duplicates and loses appends. */
final class LogWriterSimulation {
    final List<LogEntry> accepted = new ArrayList<>();
    final List<LogEntry> read = new ArrayList<>();

    private final Random random;
    private final LogWriter writer;
    private final BatchDeduplicator deduplicator = new BatchDeduplicator(Long.MAX_VALUE);
    private final List<LogRecord> records = new ArrayList<>();
    private final List<LogBatch> inFlight = new ArrayList<>();
    private LogBatch unansweredAppend;
    private int position;
    private int offered;
    private long now;

    LogWriterSimulation(Random random, LogWriterSettings settings) {
        this.random = random;
        this.writer = new LogWriter(LogStream.CLAIMS, 7, settings, random);
    }

    void step() {
        now += random.nextInt(60_000);
        switch (random.nextInt(6)) {
            case 0, 1 -> offer();
            case 2 -> deliver();
            case 3 -> answer();
            case 4 -> readUpTo(position + random.nextInt(records.size() - position + 1));
            default -> retract();
        }
        sendDue();
    }

    void completeAll() {
        for (int round = 0; round < 200; round++) {
            now += 1_000_000;
            while (!inFlight.isEmpty()) {
                deliver();
            }
            if (unansweredAppend != null) {
                LogBatch answered = unansweredAppend;
                unansweredAppend = null;
                writer.onAppendResult(answered.sequence(), new AppendResult.Appended(1), now);
            }
            readUpTo(records.size());
            sendDue();
        }
    }

    private void offer() {
        LogEntry entry = LogWriterTest.entry(offered++);
        if (writer.offer(entry, now) == LogWriter.OfferResult.QUEUED) {
            accepted.add(entry);
        }
    }

    private void retract() {
        if (accepted.isEmpty()) {
            return;
        }
        LogEntry entry = accepted.get(random.nextInt(accepted.size()));
        if (writer.retract(entry)) {
            accepted.removeIf(each -> each == entry);
        }
    }

    private void deliver() {
        if (!inFlight.isEmpty()) {
            LogBatch delivered = inFlight.remove(random.nextInt(inFlight.size()));
            records.add(new LogRecord(records.size() + 1, delivered));
        }
    }

    private void answer() {
        if (unansweredAppend == null) {
            return;
        }
        LogBatch answered = unansweredAppend;
        unansweredAppend = null;
        boolean inFlightNow = inFlight.stream().anyMatch(batch -> batch == answered);
        if (inFlightNow && random.nextBoolean()) {
            inFlight.removeIf(batch -> batch == answered);
            writer.onAppendResult(answered.sequence(), new AppendResult.Refused(), now);
        } else if (inFlightNow || random.nextBoolean()) {
            writer.onAppendResult(answered.sequence(), new AppendResult.Unknown(), now);
        } else {
            writer.onAppendResult(answered.sequence(), new AppendResult.Appended(1), now);
        }
    }

    private void readUpTo(int end) {
        List<LogRecord> part = List.copyOf(records.subList(position, end));
        position = end;
        for (LogRecord record : part) {
            if (deduplicator.admit(record, now)) {
                read.addAll(record.batch().entries());
            }
        }
        writer.onRecords(part, position == records.size());
    }

    private void sendDue() {
        writer.sendDue(now, (stream, batch) -> {
            unansweredAppend = batch;
            inFlight.add(batch);
        });
    }
}
