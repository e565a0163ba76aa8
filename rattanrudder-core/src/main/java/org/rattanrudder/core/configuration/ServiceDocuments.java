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
 * Holds the documents in force at this process: of each service, the newest accepted revision that this release can
 * read.
 *
 * <p>The ledger decides which revisions are accepted, identically at every process. During a rolling upgrade, an older
 * release may be unable to read an accepted text. It keeps the previous revision in force, reports the unreadable one,
 * and lists the previous revision in its heartbeats.
 */
public final class ServiceDocuments {
    private final DocumentReader reader;
    private final ConfigurationLedger ledger = new ConfigurationLedger();
    private final Map<ServiceName, DocumentChange.InForce> inForce = new HashMap<>();
    private final Map<ServiceName, Long> lastReadRevisions = new HashMap<>();

    /**
     * Creates an instance without documents.
     *
     * @param reader parses and checks a document's text
     */
    public ServiceDocuments(DocumentReader reader) {
        this.reader = reader;
    }

    /**
     * Applies records from the log, or from a peer while the log can't be read.
     *
     * @param records in the order of their offsets
     * @return the decisions on the edits in them
     */
    public List<EditDecision> apply(List<LogRecord> records) {
        List<EditDecision> decisions = new ArrayList<>();
        for (LogRecord record : records) {
            decisions.addAll(ledger.apply(record));
        }
        return decisions;
    }

    /**
     * Reads the texts that were accepted since the last call; while catching up, only the newest text of each service
     * is read.
     *
     * @return a change for each service whose accepted revision is new here
     */
    public List<DocumentChange> update() {
        List<DocumentChange> changes = new ArrayList<>();
        for (DocumentRevision each : ledger.documents()) {
            if (each.text().isEmpty() || lastReadRevisions.getOrDefault(each.service(), 0L) >= each.revision()) {
                continue;
            }
            lastReadRevisions.put(each.service(), each.revision());
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

    /** Returns all documents in force here, sorted by service name. */
    public List<ServiceDocument> documents() {
        return inForceByName().stream().map(DocumentChange.InForce::document).toList();
    }

    /** Returns the revision of each document in force here, for heartbeats. */
    public List<Frame.ServiceRevision> revisions() {
        return inForceByName().stream()
                .map(each -> new Frame.ServiceRevision(each.service(), each.revision()))
                .toList();
    }

    /** Returns the ledger that decides which revisions are accepted. */
    public ConfigurationLedger ledger() {
        return ledger;
    }

    private List<DocumentChange.InForce> inForceByName() {
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
