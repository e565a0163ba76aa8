package org.rattanrudder.core.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.rattanrudder.core.document.DocumentReader;
import org.rattanrudder.core.document.ServiceDocument;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.log.LogRecord;
import org.rattanrudder.core.model.ServiceName;

/**
 * The documents that a process works by: the newest accepted revision of each service that its release can read.
 *
 * <p>What is accepted is the ledger's matter and the same everywhere. During a rolling upgrade an older release may be
 * unable to read an accepted text; it keeps the revision before, says so, and its heartbeats name that older revision.
 */
public final class ServiceDocuments {
    private final DocumentReader reader;
    private final ConfigurationLedger ledger = new ConfigurationLedger();
    private final Map<ServiceName, DocumentChange.InForce> inForce = new HashMap<>();
    private final Map<ServiceName, Long> seen = new HashMap<>();

    /**
     * Starts without any document.
     *
     * @param reader reads a document's text
     */
    public ServiceDocuments(DocumentReader reader) {
        this.reader = reader;
    }

    /**
     * Takes records from the log, or from a peer while the log can't be read.
     *
     * @param records in the order of their offsets
     * @return what became of the edits in them
     */
    public List<EditDecision> apply(List<LogRecord> records) {
        List<EditDecision> decisions = new ArrayList<>();
        for (LogRecord record : records) {
            decisions.addAll(ledger.apply(record));
        }
        return decisions;
    }

    /**
     * Reads the texts that were accepted since the last call; a process that catches up reads only the newest of each.
     *
     * @return a change for each service whose accepted revision is new here
     */
    public List<DocumentChange> update() {
        List<DocumentChange> changes = new ArrayList<>();
        for (DocumentRevision each : ledger.documents()) {
            if (each.text().isEmpty() || seen.getOrDefault(each.service(), 0L) >= each.revision()) {
                continue;
            }
            seen.put(each.service(), each.revision());
            DocumentChange change =
                    read(each.service(), each.revision(), each.text().get());
            if (change instanceof DocumentChange.InForce document) {
                inForce.put(each.service(), document);
            }
            changes.add(change);
        }
        return changes;
    }

    /** Returns the document in force here. */
    public Optional<ServiceDocument> document(ServiceName service) {
        return Optional.ofNullable(inForce.get(service)).map(DocumentChange.InForce::document);
    }

    /** Returns all documents in force here, by the services' names. */
    public List<ServiceDocument> documents() {
        return sorted().stream().map(DocumentChange.InForce::document).toList();
    }

    /** Returns the revision of each document in force here, as heartbeats carry it. */
    public List<Frame.ServiceRevision> revisions() {
        return sorted().stream()
                .map(each -> new Frame.ServiceRevision(each.service(), each.revision()))
                .toList();
    }

    /** Returns the fold of the log that decides which revisions are accepted. */
    public ConfigurationLedger ledger() {
        return ledger;
    }

    private List<DocumentChange.InForce> sorted() {
        return inForce.values().stream()
                .sorted(Comparator.comparing(each -> each.service().value()))
                .toList();
    }

    private DocumentChange read(ServiceName service, long revision, String text) {
        DocumentReader.Reading reading = reader.read(text);
        if (reading instanceof DocumentReader.Valid valid) {
            if (valid.document().service().equals(service)) {
                return new DocumentChange.InForce(service, revision, valid.document());
            }
            return new DocumentChange.Unreadable(
                    service,
                    revision,
                    "it describes service " + valid.document().service());
        }
        return new DocumentChange.Unreadable(service, revision, ((DocumentReader.Invalid) reading).reason());
    }
}
