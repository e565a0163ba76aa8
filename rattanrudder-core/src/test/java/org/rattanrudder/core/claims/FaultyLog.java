package org.rattanrudder.core.claims;

import java.util.ArrayList;
import java.util.List;
import org.rattanrudder.core.log.LogBatch;
import org.rattanrudder.core.log.LogRecord;

/** An in-memory log whose appends arrive, are refused or are lost as the test decides, and which drops old records. */
final class FaultyLog {
    private final long retentionMicros;
    private final List<LogRecord> records = new ArrayList<>();
    private final List<Long> arrivedMicros = new ArrayList<>();
    private final List<InFlightCopy> inFlight = new ArrayList<>();
    private int firstRetained;
    boolean down;

    FaultyLog(long retentionMicros) {
        this.retentionMicros = retentionMicros;
    }

    record InFlightCopy(LogBatch batch, long sentMicros) {}

    void send(LogBatch batch, long nowMicros) {
        inFlight.add(new InFlightCopy(batch, nowMicros));
    }

    int inFlight() {
        return inFlight.size();
    }

    /** Delivers an in-flight copy; one that is older than the retention is dropped. */
    void deliver(int number, long nowMicros) {
        InFlightCopy copy = inFlight.remove(number);
        if (nowMicros - copy.sentMicros() < retentionMicros) {
            records.add(new LogRecord(records.size() + 1, copy.batch()));
            arrivedMicros.add(nowMicros);
        }
    }

    /** Drops the in-flight copy of a batch, and returns whether there was one. */
    boolean refuse(LogBatch batch) {
        return inFlight.removeIf(copy -> copy.batch() == batch);
    }

    boolean contains(LogBatch batch) {
        return records.stream().anyMatch(record -> record.batch() == batch);
    }

    boolean isInFlight(LogBatch batch) {
        return inFlight.stream().anyMatch(copy -> copy.batch() == batch);
    }

    /** Returns the offset of the last record that was dropped. */
    long lastDroppedOffset() {
        return firstRetained;
    }

    long lastOffset() {
        return records.size();
    }

    /** Returns up to {@code maxRecords} retained records above an offset. */
    List<LogRecord> readAbove(long offset, int maxRecords, long nowMicros) {
        while (firstRetained < records.size() && nowMicros - arrivedMicros.get(firstRetained) >= retentionMicros) {
            firstRetained++;
        }
        int from = Math.max((int) offset, firstRetained);
        return List.copyOf(
                records.subList(Math.min(from, records.size()), Math.min(from + maxRecords, records.size())));
    }
}
