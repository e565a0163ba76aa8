package org.rattanrudder.core.log;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Drops duplicate copies of batches that were appended more than once.
 *
 * <p>It keeps one sequence number for each writer. A {@link LogWriter} sends a sequence only when the previous one is
 * in the log, so a batch is a duplicate if its sequence isn't higher than the highest one received. Writers from which
 * nothing was read for longer than the log retains records are evicted.
 */
public final class BatchDeduplicator {
    private final long retentionMicros;
    private final Map<Long, LastBatch> writers = new LinkedHashMap<>(16, 0.75f, true);

    /**
     * Creates a deduplicator without any writers.
     *
     * @param retentionMicros how long the log retains a record, in microseconds; a duplicate arrives no later than that
     */
    public BatchDeduplicator(long retentionMicros) {
        this.retentionMicros = retentionMicros;
    }

    private record LastBatch(long sequence, long atMicros) {}

    /** Registers a record that was read, and returns whether it is the first copy of its batch. */
    public boolean admit(LogRecord record, long nowMicros) {
        evictIdleWriters(nowMicros);
        LogBatch batch = record.batch();
        LastBatch last = writers.get(batch.writer());
        // Failure: an append whose response was lost is retried, and both copies are in the log, the later one possibly
        // after further batches. Its entries would take effect twice. The sequences of one writer first appear in
        // ascending order, so a duplicate never has a higher sequence.
        if (last != null && batch.sequence() <= last.sequence()) {
            return false;
        }
        writers.put(batch.writer(), new LastBatch(batch.sequence(), nowMicros));
        return true;
    }

    /** Returns the number of writers that are tracked. */
    public int writerCount() {
        return writers.size();
    }

    private void evictIdleWriters(long nowMicros) {
        var eldest = writers.entrySet().iterator();
        while (eldest.hasNext() && nowMicros - eldest.next().getValue().atMicros() > retentionMicros) {
            eldest.remove();
        }
    }
}
