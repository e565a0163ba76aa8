package org.rattanrudder.core.log;

import org.rattanrudder.core.call.Header;

/** Estimates the size of an entry in a batch, so that batches stay below the log's record size limit. */
final class EntrySize {
    private static final int BASE_BYTES = 128;

    private EntrySize() {}

    static int of(LogEntry entry) {
        if (entry instanceof LogEntry.DocumentEdit edit) {
            return BASE_BYTES + edit.text().length();
        }
        if (entry instanceof LogEntry.DocumentRefresh refresh) {
            return BASE_BYTES + refresh.text().length();
        }
        if (entry instanceof LogEntry.KeyOutcome outcome) {
            int headers = 0;
            for (Header header : outcome.headers()) {
                headers += header.name().length() + header.value().length();
            }
            return BASE_BYTES + headers + outcome.body().length;
        }
        return BASE_BYTES;
    }
}
