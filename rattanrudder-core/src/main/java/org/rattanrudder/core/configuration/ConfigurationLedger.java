package org.rattanrudder.core.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.rattanrudder.core.configuration.EditDecision.Verdict;
import org.rattanrudder.core.log.LogBatch;
import org.rattanrudder.core.log.LogEntry;
import org.rattanrudder.core.log.LogRecord;
import org.rattanrudder.core.model.ServiceName;

/**
 * Computes the accepted revision of each service's document as a deterministic fold of the configuration stream.
 *
 * <p>An edit is accepted if its base is the revision in force at its offset; its own offset becomes the new revision.
 * The rule depends only on service, base and order, never on the text, so that readers of every release accept the same
 * edits. A duplicate of an accepted edit is void by the same rule: the first copy replaced its base, and offsets never
 * recur.
 *
 * <p>A reader that lacks records is incomplete: it keeps the documents that it has and updates them from refreshes, but
 * decides no edit until it reads a valid index. The state of a complete reader depends only on the log up to its
 * offset.
 *
 * <pre>{@code
 * ConfigurationLedger ledger = new ConfigurationLedger();
 * for (LogRecord record : records) {
 *     List<EditDecision> decisions = ledger.take(record);
 * }
 * }</pre>
 */
public final class ConfigurationLedger {
    /** The writer of records in a peer's snapshot; no process has this incarnation. */
    static final long SNAPSHOT_WRITER = 0;

    /** The age of a text that came from a peer: old, so that it is refreshed in the log soon. */
    static final long UNKNOWN_TEXT_INDEX = Integer.MIN_VALUE;

    private final Map<ServiceName, DocumentRevision> documents = new HashMap<>();
    private final Map<LogEntry.Revision, String> undecidedTexts = new HashMap<>();
    private long lastOffset;
    private long indexCount;
    private boolean complete = true;

    /**
     * Applies a record of the log or of a peer's snapshot.
     *
     * @param record the record
     * @return the decisions on the edits in it, in order; empty for a record that was applied before
     */
    public List<EditDecision> apply(LogRecord record) {
        List<EditDecision> decisions = new ArrayList<>();
        if (record.offset() <= lastOffset) {
            // A record that was applied before must not be decided again against a newer state. Its texts are still
            // valid: a peer's index may have brought a revision alone.
            applyLateTexts(record);
            return decisions;
        }
        if (record.offset() != lastOffset + 1) {
            // Retention dropped records that this reader never read. One of their edits may have been accepted, so
            // deciding a later edit by the revision known here could accept what all other readers hold void: wait for
            // an index.
            complete = false;
        }
        lastOffset = record.offset();
        for (LogEntry entry : record.batch().entries()) {
            if (entry instanceof LogEntry.DocumentEdit edit) {
                decisions.add(decide(edit, record));
            } else if (entry instanceof LogEntry.DocumentRefresh refresh) {
                long textIndex = record.batch().writer() == SNAPSHOT_WRITER ? UNKNOWN_TEXT_INDEX : indexCount;
                applyRefresh(refresh, record, textIndex);
            } else if (entry instanceof LogEntry.RevisionIndex index) {
                applyIndex(index, record);
            }
        }
        return decisions;
    }

    /** Returns the accepted revision of a service; empty if none is known here. */
    public Optional<DocumentRevision> document(ServiceName service) {
        return Optional.ofNullable(documents.get(service));
    }

    /** Returns all accepted revisions, sorted by service name. */
    public List<DocumentRevision> documents() {
        return documents.values().stream()
                .sorted(Comparator.comparing(each -> each.service().value()))
                .toList();
    }

    /** Returns the revision in force; 0 for an unknown service. */
    public long revision(ServiceName service) {
        DocumentRevision document = documents.get(service);
        return document == null ? 0 : document.revision();
    }

    /** Returns the offset of the last record applied; 0 before the first. */
    public long lastOffset() {
        return lastOffset;
    }

    /** Returns whether the state is exactly the log's at {@link #lastOffset()}, so that edits can be decided. */
    public boolean isComplete() {
        return complete;
    }

    /** Returns whether the text of a known revision hasn't been read yet. */
    public boolean lacksText() {
        return documents.values().stream().anyMatch(each -> each.text().isEmpty());
    }

    /** Returns whether the text of a service's known revision hasn't been read yet. */
    boolean lacksText(ServiceName service) {
        DocumentRevision document = documents.get(service);
        return document != null && document.text().isEmpty();
    }

    /** Returns the number of valid indexes applied so far. */
    public long indexCount() {
        return indexCount;
    }

    /** Returns the index to append next; it is valid only if no other record is appended before it. */
    public LogEntry.RevisionIndex nextIndex() {
        return indexAfter(lastOffset);
    }

    /**
     * Returns records that bring a peer to this state: first an index of the revisions, then one refresh for each text.
     * An incomplete reader sends texts only, since its revisions may be outdated.
     */
    public List<LogRecord> snapshot() {
        List<LogRecord> records = new ArrayList<>();
        if (lastOffset == 0) {
            return records;
        }
        if (complete) {
            records.add(snapshotRecord(indexAfter(lastOffset - 1)));
        }
        for (DocumentRevision each : documents()) {
            each.text()
                    .ifPresent(text -> records.add(
                            snapshotRecord(new LogEntry.DocumentRefresh(each.service(), each.revision(), text))));
        }
        return records;
    }

    private LogRecord snapshotRecord(LogEntry entry) {
        return new LogRecord(lastOffset, new LogBatch(SNAPSHOT_WRITER, 0, List.of(entry)));
    }

    private LogEntry.RevisionIndex indexAfter(long previousOffset) {
        List<LogEntry.Revision> revisions = documents().stream()
                .map(each -> new LogEntry.Revision(each.service(), each.revision()))
                .toList();
        return new LogEntry.RevisionIndex(previousOffset, revisions);
    }

    private EditDecision decide(LogEntry.DocumentEdit edit, LogRecord record) {
        Verdict verdict = verdict(edit, record.offset());
        if (verdict == Verdict.ACCEPTED) {
            put(edit.service(), record.offset(), Optional.of(edit.text()), indexCount);
        }
        if (verdict == Verdict.UNDECIDED) {
            undecidedTexts.putIfAbsent(new LogEntry.Revision(edit.service(), record.offset()), edit.text());
        }
        return new EditDecision(edit, record.offset(), record.batch().writer(), verdict);
    }

    private Verdict verdict(LogEntry.DocumentEdit edit, long offset) {
        if (!complete) {
            return Verdict.UNDECIDED;
        }
        // Two edits of a service in one batch would share one offset and so one revision. The second is void, since the
        // base that would name the first is not below its own offset.
        if (edit.baseRevision() >= offset) {
            return Verdict.VOID;
        }
        return edit.baseRevision() == revision(edit.service()) ? Verdict.ACCEPTED : Verdict.VOID;
    }

    private void applyLateTexts(LogRecord record) {
        for (LogEntry entry : record.batch().entries()) {
            if (entry instanceof LogEntry.DocumentRefresh refresh && !hasText(refresh)) {
                applyRefresh(refresh, record, UNKNOWN_TEXT_INDEX);
            } else if (entry instanceof LogEntry.DocumentEdit edit
                    && isMissingText(edit, record.offset())
                    && isOnlyEditOfItsService(edit, record.batch())) {
                put(edit.service(), record.offset(), Optional.of(edit.text()), UNKNOWN_TEXT_INDEX);
            }
        }
    }

    private boolean isMissingText(LogEntry.DocumentEdit edit, long offset) {
        DocumentRevision document = documents.get(edit.service());
        return document != null
                && document.revision() == offset
                && document.text().isEmpty();
    }

    /** Returns whether no other edit of the record can be the accepted one: of two, it isn't known which is void. */
    private static boolean isOnlyEditOfItsService(LogEntry.DocumentEdit edit, LogBatch batch) {
        return batch.entries().stream()
                        .filter(each -> each instanceof LogEntry.DocumentEdit other
                                && other.service().equals(edit.service()))
                        .count()
                == 1;
    }

    private boolean hasText(LogEntry.DocumentRefresh refresh) {
        DocumentRevision document = documents.get(refresh.service());
        return document != null
                && document.revision() >= refresh.revision()
                && document.text().isPresent();
    }

    private void applyRefresh(LogEntry.DocumentRefresh refresh, LogRecord record, long textIndex) {
        // A revision that was never given would stay in force for good.
        if (refresh.revision() > record.offset()) {
            return;
        }
        // A refresh whose writer had not yet read a newer edit would revert it if its own offset counted. It carries
        // the offset of the edit whose text it repeats, and only a higher one replaces the revision in force.
        if (refresh.revision() >= revision(refresh.service())) {
            put(refresh.service(), refresh.revision(), Optional.of(refresh.text()), textIndex);
        }
    }

    private void applyIndex(LogEntry.RevisionIndex index, LogRecord record) {
        // A record between those that the writer had read and the index may contain an edit that the index lacks; a
        // reader that started from this index would lose it. Such an index is void, and another one follows.
        if (index.previousOffset() != record.offset() - 1 || hasEdit(record.batch()) || isAhead(index, record)) {
            return;
        }
        for (LogEntry.Revision each : index.revisions()) {
            if (each.revision() > revision(each.service())) {
                put(each.service(), each.revision(), Optional.ofNullable(undecidedTexts.get(each)), indexCount);
            }
        }
        undecidedTexts.clear();
        complete = true;
        indexCount++;
    }

    /** Returns whether an index names a revision that was never given. */
    private static boolean isAhead(LogEntry.RevisionIndex index, LogRecord record) {
        return index.revisions().stream().anyMatch(each -> each.revision() > record.offset());
    }

    private static boolean hasEdit(LogBatch batch) {
        return batch.entries().stream().anyMatch(LogEntry.DocumentEdit.class::isInstance);
    }

    private void put(ServiceName service, long revision, Optional<String> text, long textIndex) {
        documents.put(service, new DocumentRevision(service, revision, text, textIndex));
    }
}
