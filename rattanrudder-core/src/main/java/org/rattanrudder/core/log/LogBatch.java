package org.rattanrudder.core.log;

import java.util.List;

/**
 * The entries of one append. If a batch is appended twice because the first response was lost, readers recognize the
 * duplicate by writer and sequence and apply only the first copy.
 *
 * @param writer the incarnation of the process that wrote it
 * @param sequence increases by one with each batch of a writer on a stream
 * @param entries the entries, in order
 */
public record LogBatch(long writer, long sequence, List<LogEntry> entries) {
    /** Copies the entries. */
    public LogBatch {
        entries = List.copyOf(entries);
    }
}
