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
 * A pure fold of the configuration stream: the accepted revision of each service's document.
 *
 * <p>An edit holds if its base is the revision in force at its place; its revision is its offset. The rule reads only
 * service, base and order, never the text, so that readers of every release accept the same edits. A repeated edit is
 * void by the same rule: its base was replaced when the first copy held, and offsets never come back.
 *
 * <p>A reader that lacks records is unsettled: it keeps the documents it has and raises them by refreshes, but decides
 * no edit until an index holds. A settled reader's state depends on nothing but the log up to its offset.
 *
 * <pre>{@code
 * ConfigurationLedger ledger = new ConfigurationLedger();
 * for (LogRecord record : records) {
 *     List<EditDecision> decisions = ledger.take(record);
 * }
 * }</pre>
 */
public final class ConfigurationLedger {
    /** The writer of records that a peer makes up from its state; no process draws this incarnation. */
    static final long NO_WRITER = 0;

    /** The age of a text that came from a peer: old, so that it is soon written again. */
    static final long UNKNOWN_TEXT_INDEX = Integer.MIN_VALUE;

    private final Map<ServiceName, DocumentRevision> documents = new HashMap<>();
    private final Map<LogEntry.Revision, String> undecidedTexts = new HashMap<>();
    private long lastOffset;
    private long indexes;
    private boolean settled = true;

    /**
     * Takes a record of the log, or one that a peer made up from its state.
     *
     * @param record the record
     * @return what became of the edits in it, in order; empty for a record that was read before
     */
    public List<EditDecision> apply(LogRecord record) {
        List<EditDecision> decisions = new ArrayList<>();
        if (record.offset() <= lastOffset) {
            // A late copy must not be judged again, against a newer state. What its refreshes say stays true.
            takeLateTexts(record.batch());
            return decisions;
        }
        if (record.offset() != lastOffset + 1) {
            // Retention dropped records that this reader never saw. An edit in the gap may have been accepted, so that
            // deciding a later one by our revision could accept what all others hold void: wait for an index.
            settled = false;
        }
        lastOffset = record.offset();
        for (LogEntry entry : record.batch().entries()) {
            if (entry instanceof LogEntry.DocumentEdit edit) {
                decisions.add(decide(edit, record));
            } else if (entry instanceof LogEntry.DocumentRefresh refresh) {
                takeRefresh(refresh, record.batch().writer() == NO_WRITER ? UNKNOWN_TEXT_INDEX : indexes);
            } else if (entry instanceof LogEntry.RevisionIndex index) {
                takeIndex(index, record);
            }
        }
        return decisions;
    }

    /** Returns the accepted revision of a service; empty if it has none that is known here. */
    public Optional<DocumentRevision> document(ServiceName service) {
        return Optional.ofNullable(documents.get(service));
    }

    /** Returns all accepted revisions by the services' names. */
    public List<DocumentRevision> documents() {
        return documents.values().stream()
                .sorted(Comparator.comparing(each -> each.service().value()))
                .toList();
    }

    /** Returns the revision in force, 0 for a service that is not known. */
    public long revision(ServiceName service) {
        DocumentRevision document = documents.get(service);
        return document == null ? 0 : document.revision();
    }

    /** Returns the offset of the last record taken; 0 before the first. */
    public long lastOffset() {
        return lastOffset;
    }

    /** Returns whether the state is exactly the log's at {@link #lastOffset()}, so that edits can be decided. */
    public boolean isComplete() {
        return settled;
    }

    /** Returns how many indexes have held so far as read here. */
    public long indexes() {
        return indexes;
    }

    /** Returns the index to append next; it holds only if nothing comes before it. */
    public LogEntry.RevisionIndex index() {
        return indexAfter(lastOffset);
    }

    /**
     * Returns records that bring a peer to this state: the first tells the revisions, and each of the others one text.
     * An unsettled reader passes on texts only, since it can't vouch for the revisions.
     */
    public List<LogRecord> snapshot() {
        List<LogRecord> records = new ArrayList<>();
        if (lastOffset == 0) {
            return records;
        }
        if (settled) {
            records.add(madeUp(indexAfter(lastOffset - 1)));
        }
        for (DocumentRevision each : documents()) {
            each.text()
                    .ifPresent(text ->
                            records.add(madeUp(new LogEntry.DocumentRefresh(each.service(), each.revision(), text))));
        }
        return records;
    }

    private LogRecord madeUp(LogEntry entry) {
        return new LogRecord(lastOffset, new LogBatch(NO_WRITER, 0, List.of(entry)));
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
            keep(edit.service(), record.offset(), Optional.of(edit.text()), indexes);
        }
        if (verdict == Verdict.UNDECIDED) {
            undecidedTexts.putIfAbsent(new LogEntry.Revision(edit.service(), record.offset()), edit.text());
        }
        return new EditDecision(edit, record.offset(), record.batch().writer(), verdict);
    }

    private Verdict verdict(LogEntry.DocumentEdit edit, long offset) {
        if (!settled) {
            return Verdict.UNDECIDED;
        }
        // A second edit of a service in one batch would share the first one's revision: its base is never below its own
        // offset if it names the first, and so it is void.
        if (edit.baseRevision() >= offset) {
            return Verdict.VOID;
        }
        return edit.baseRevision() == revision(edit.service()) ? Verdict.ACCEPTED : Verdict.VOID;
    }

    private void takeLateTexts(LogBatch batch) {
        for (LogEntry entry : batch.entries()) {
            if (entry instanceof LogEntry.DocumentRefresh refresh && !hasText(refresh)) {
                takeRefresh(refresh, UNKNOWN_TEXT_INDEX);
            }
        }
    }

    private boolean hasText(LogEntry.DocumentRefresh refresh) {
        DocumentRevision document = documents.get(refresh.service());
        return document != null
                && document.revision() >= refresh.revision()
                && document.text().isPresent();
    }

    private void takeRefresh(LogEntry.DocumentRefresh refresh, long textIndex) {
        // A refresh whose writer had not yet read a newer edit would revert it if its place in the log counted. It
        // carries the offset of the edit that it repeats, and only a higher one replaces what is in force.
        if (refresh.revision() >= revision(refresh.service())) {
            keep(refresh.service(), refresh.revision(), Optional.of(refresh.text()), textIndex);
        }
    }

    private void takeIndex(LogEntry.RevisionIndex index, LogRecord record) {
        // If any record came between what the writer had read and the index, that record may hold an edit which the
        // index doesn't know; a reader that began with this index would lose it. Then it is void and another follows.
        if (index.previousOffset() != record.offset() - 1 || hasEdit(record.batch())) {
            return;
        }
        for (LogEntry.Revision each : index.revisions()) {
            if (each.revision() > revision(each.service())) {
                keep(each.service(), each.revision(), Optional.ofNullable(undecidedTexts.get(each)), indexes);
            }
        }
        undecidedTexts.clear();
        settled = true;
        indexes++;
    }

    private static boolean hasEdit(LogBatch batch) {
        return batch.entries().stream().anyMatch(LogEntry.DocumentEdit.class::isInstance);
    }

    private void keep(ServiceName service, long revision, Optional<String> text, long textIndex) {
        documents.put(service, new DocumentRevision(service, revision, text, textIndex));
    }
}
