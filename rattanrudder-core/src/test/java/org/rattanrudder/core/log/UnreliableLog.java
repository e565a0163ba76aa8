package org.rattanrudder.core.log;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** A writer and a reader on a log that refuses, delays, doubles and loses as a seed says. */
final class UnreliableLog {
    final List<LogEntry> taken = new ArrayList<>();
    final List<LogEntry> read = new ArrayList<>();

    private final Random random;
    private final LogWriter writer;
    private final BatchDeduplicator deduplicator = new BatchDeduplicator(Long.MAX_VALUE);
    private final List<LogRecord> records = new ArrayList<>();
    private final List<LogBatch> onTheWay = new ArrayList<>();
    private LogBatch unanswered;
    private int position;
    private int offered;
    private long now;

    UnreliableLog(Random random, LogWriterSettings settings) {
        this.random = random;
        this.writer = new LogWriter(LogStream.CLAIMS, 7, settings, random);
    }

    void step() {
        now += random.nextInt(60_000);
        switch (random.nextInt(6)) {
            case 0, 1 -> offer();
            case 2 -> land();
            case 3 -> answer();
            case 4 -> readUpTo(position + random.nextInt(records.size() - position + 1));
            default -> retract();
        }
        pump();
    }

    void settleAll() {
        for (int round = 0; round < 200; round++) {
            now += 1_000_000;
            while (!onTheWay.isEmpty()) {
                land();
            }
            if (unanswered != null) {
                LogBatch answered = unanswered;
                unanswered = null;
                writer.onAppendResult(answered.sequence(), new AppendResult.Appended(1), now);
            }
            readUpTo(records.size());
            pump();
        }
    }

    private void offer() {
        LogEntry entry = LogWriterTest.entry(offered++);
        if (writer.offer(entry, now) == LogWriter.OfferResult.QUEUED) {
            taken.add(entry);
        }
    }

    private void retract() {
        if (taken.isEmpty()) {
            return;
        }
        LogEntry entry = taken.get(random.nextInt(taken.size()));
        if (writer.retract(entry)) {
            taken.removeIf(each -> each == entry);
        }
    }

    private void land() {
        if (!onTheWay.isEmpty()) {
            LogBatch landed = onTheWay.remove(random.nextInt(onTheWay.size()));
            records.add(new LogRecord(records.size() + 1, landed));
        }
    }

    private void answer() {
        if (unanswered == null) {
            return;
        }
        LogBatch answered = unanswered;
        unanswered = null;
        boolean out = onTheWay.stream().anyMatch(batch -> batch == answered);
        if (out && random.nextBoolean()) {
            onTheWay.removeIf(batch -> batch == answered);
            writer.onAppendResult(answered.sequence(), new AppendResult.Refused(), now);
        } else if (out || random.nextBoolean()) {
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

    private void pump() {
        writer.sendDue(now, (stream, batch) -> {
            unanswered = batch;
            onTheWay.add(batch);
        });
    }
}
