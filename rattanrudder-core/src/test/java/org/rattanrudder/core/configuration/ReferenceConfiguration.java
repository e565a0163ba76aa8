package org.rattanrudder.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.rattanrudder.core.log.LogBatch;
import org.rattanrudder.core.log.LogEntry;
import org.rattanrudder.core.log.LogRecord;
import org.rattanrudder.core.model.ServiceName;

/** A reference implementation on a log without retention: compare-and-set on a map of revisions. */
final class ReferenceConfiguration {
    private final List<LogRecord> log = new ArrayList<>();
    private final List<Map<String, Long>> revisionsAt = new ArrayList<>(List.of(Map.of()));
    private final Map<Long, String> texts = new TreeMap<>();

    LogRecord append(LogBatch batch) {
        LogRecord record = new LogRecord(log.size() + 1, batch);
        log.add(record);
        Map<String, Long> revisions = new TreeMap<>(revisionsAt.get(revisionsAt.size() - 1));
        for (LogEntry entry : batch.entries()) {
            if (entry instanceof LogEntry.DocumentEdit edit
                    && revisions.getOrDefault(edit.service().value(), 0L) == edit.baseRevision()
                    && edit.baseRevision() < record.offset()) {
                revisions.put(edit.service().value(), record.offset());
                texts.put(record.offset(), edit.text());
            }
        }
        revisionsAt.add(revisions);
        return record;
    }

    int lastOffset() {
        return log.size();
    }

    LogRecord record(int offset) {
        return log.get(offset - 1);
    }

    Map<String, Long> revisionsAt(long offset) {
        return revisionsAt.get((int) offset);
    }

    long revisionAt(long offset, ServiceName service) {
        return revisionsAt(offset).getOrDefault(service.value(), 0L);
    }

    String text(long revision) {
        return texts.get(revision);
    }

    /** Returns the index that a process which has read up to an offset would append. */
    LogEntry.RevisionIndex indexAt(long offset) {
        return new LogEntry.RevisionIndex(
                offset,
                revisionsAt(offset).entrySet().stream()
                        .map(each -> new LogEntry.Revision(new ServiceName(each.getKey()), each.getValue()))
                        .toList());
    }
}
