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

/** One incarnation of a companion: its claims, what it runs, and its place in the log. */
final class SimulatedCompanion {
    static final LogWriterSettings WRITER =
            new LogWriterSettings(10_000, 4, 100_000, 64, 200_000, 500_000, 20_000, 400_000);

    final String name;
    final long incarnation;
    final KeyClaims claims;
    final List<AttemptId> running = new ArrayList<>();
    final Deque<LogBatch> unanswered = new ArrayDeque<>();
    boolean frozen;
    long position;
    /** Whether the log dropped records before this companion read them. */
    boolean skipped;

    private final SharedLog log;
    private final KeyDecision.Listener sink;

    SimulatedCompanion(String name, long incarnation, SharedLog log, Random random, KeyDecision.Listener sink) {
        this.name = name;
        this.incarnation = incarnation;
        this.log = log;
        this.sink = sink;
        LogWriter writer = new LogWriter(LogStream.CLAIMS, incarnation, WRITER, random);
        claims = new KeyClaims(incarnation, new InstanceName(name), ClaimWorld.CLAIMS, writer, random);
        claims.setKeyRetention(ClaimWorld.SERVICE, ClaimWorld.KEY_RETENTION_MICROS);
    }

    void pump(long now) {
        claims.sendDue(now, (stream, batch) -> {
            unanswered.add(batch);
            log.send(batch, now);
        });
    }

    void tick(long now) {
        claims.tick(now, sink);
        pump(now);
    }

    void read(int most, long now) {
        if (log.down) {
            claims.onReadFailed();
            return;
        }
        List<LogRecord> records = log.readAbove(position, most, now);
        skipped |= position < log.dropped();
        if (!records.isEmpty()) {
            position = records.get(records.size() - 1).offset();
        }
        claims.onRecords(records, records.size() < most, now, sink);
        pump(now);
    }

    boolean isCaughtUp() {
        return position == log.end();
    }

    /** Answers the oldest append that has no answer. */
    void answer(AppendResult result, long now) {
        claims.onAppendResult(unanswered.poll().sequence(), result, now);
        pump(now);
    }
}
