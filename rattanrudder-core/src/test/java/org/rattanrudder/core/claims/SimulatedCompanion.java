package org.rattanrudder.core.claims;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.rattanrudder.core.log.AppendResult;
import org.rattanrudder.core.log.LogBatch;
import org.rattanrudder.core.log.LogRecord;
import org.rattanrudder.core.log.LogStream;
import org.rattanrudder.core.log.LogWriter;
import org.rattanrudder.core.log.LogWriterSettings;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.InstanceName;
import org.rattanrudder.core.time.EventTime;

/** One incarnation of a companion, with its claims, its runs and its position in the log. */
final class SimulatedCompanion {
    static final LogWriterSettings WRITER_SETTINGS =
            new LogWriterSettings(10_000, 4, 100_000, 64, 200_000, 500_000, 20_000, 400_000);

    final String name;
    final long incarnation;
    final KeyClaims claims;
    final List<AttemptId> running = new ArrayList<>();
    final Deque<LogBatch> unansweredAppends = new ArrayDeque<>();
    boolean paused;
    long position;
    /** Whether the log dropped records that this companion hadn't read. */
    boolean missedRecords;

    private final FaultyLog log;
    private final KeyDecision.Listener listener;

    SimulatedCompanion(String name, long incarnation, FaultyLog log, Random random, KeyDecision.Listener listener) {
        this.name = name;
        this.incarnation = incarnation;
        this.log = log;
        this.listener = listener;
        LogWriter writer = new LogWriter(LogStream.CLAIMS, incarnation, WRITER_SETTINGS, random);
        claims = new KeyClaims(incarnation, new InstanceName(name), ClaimSimulation.SETTINGS, writer, random);
        claims.setKeyRetention(ClaimSimulation.SERVICE, ClaimSimulation.KEY_RETENTION_MICROS);
    }

    void sendDue(long now) {
        claims.sendDue(now, (stream, batch) -> {
            unansweredAppends.add(batch);
            log.send(batch, now);
        });
    }

    void tick(long now) {
        claims.tick(EventTime.certain(now), listener);
        sendDue(now);
    }

    void read(int maxRecords, long now) {
        if (log.down) {
            claims.onReadFailed();
            return;
        }
        List<LogRecord> records = log.readAbove(position, maxRecords, now);
        missedRecords |= position < log.lastDroppedOffset();
        if (!records.isEmpty()) {
            position = records.get(records.size() - 1).offset();
        }
        claims.onRecords(records, records.size() < maxRecords, EventTime.certain(now), listener);
        sendDue(now);
    }

    boolean isCaughtUp() {
        return position == log.lastOffset();
    }

    /** Delivers the result of the oldest append without a result. */
    void completeOldestAppend(AppendResult result, long now) {
        claims.onAppendResult(unansweredAppends.poll().sequence(), result, now);
        sendDue(now);
    }
}
