package org.rattanrudder.core.entry;

import java.util.List;
import java.util.random.RandomGenerator;
import org.rattanrudder.core.configuration.ConfigurationLedger;
import org.rattanrudder.core.configuration.ConfigurationRefresher;
import org.rattanrudder.core.configuration.DocumentChange;
import org.rattanrudder.core.configuration.DocumentRevision;
import org.rattanrudder.core.configuration.EditDecision;
import org.rattanrudder.core.configuration.PeerConfigurationExchange;
import org.rattanrudder.core.configuration.RefresherSettings;
import org.rattanrudder.core.configuration.ServiceDocuments;
import org.rattanrudder.core.document.DocumentReader;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.log.LogRecord;
import org.rattanrudder.core.log.LogWriter;
import org.rattanrudder.core.model.Address;

/**
 * Applies the documents of the configuration stream, and appends them again before the log's retention drops them.
 */
final class Configuration {
    private final ServiceDocuments documents;
    private final PeerConfigurationExchange peers;
    private final ConfigurationRefresher upkeep;
    private final ServiceTable services;
    private final LogWriter log;
    private final Outbox outbox;
    private boolean caughtUp;

    Configuration(DocumentReader reader, ServiceTable services, LogWriter log, RandomGenerator random, Outbox outbox) {
        this.documents = new ServiceDocuments(reader);
        this.peers = new PeerConfigurationExchange(documents.ledger());
        this.upkeep = new ConfigurationRefresher(RefresherSettings.DEFAULT, random);
        this.services = services;
        this.log = log;
        this.outbox = outbox;
    }

    ConfigurationLedger ledger() {
        return documents.ledger();
    }

    /** Returns whether this entry currently reads the log, whose order decides on edits. */
    boolean isFollowingLog() {
        return caughtUp && !peers.needsPeers();
    }

    /** Returns whether requests can be served: the log's end was reached, or companions sent documents in an outage. */
    boolean isKnown() {
        return caughtUp || !documents.revisions().isEmpty();
    }

    /** Applies records of the log and returns the decisions on the edits in them. */
    List<EditDecision> onLogRecords(List<LogRecord> records, boolean atEnd) {
        caughtUp |= atEnd;
        peers.onLogRead();
        return apply(records);
    }

    void onLogReadFailed() {
        peers.onLogReadFailed();
    }

    void onLinkOpened(Address companion, long nowMicros) {
        peers.requestOnLinkOpened(nowMicros).ifPresent(question -> outbox.send(companion, question));
    }

    void onHeartbeat(Address companion, Frame.Heartbeat heartbeat, long nowMicros) {
        peers.requestOnHeartbeat(heartbeat.revisions(), nowMicros)
                .ifPresent(question -> outbox.send(companion, question));
    }

    void onConfigurationRequest(Address companion, Frame.ConfigurationRequest request) {
        peers.answer(request).forEach(answer -> outbox.send(companion, answer));
    }

    /** Applies records that a companion sent, unless all that they can bring has been read from the log. */
    void onConfigurationRecords(List<LogRecord> records) {
        if (peers.acceptsRecords()) {
            apply(records);
        }
    }

    void tick(long nowMicros) {
        if (caughtUp && log.isAvailable(nowMicros)) {
            upkeep.tick(documents.ledger(), nowMicros, entry -> log.offer(entry, nowMicros));
        }
    }

    private List<EditDecision> apply(List<LogRecord> records) {
        List<EditDecision> decisions = documents.apply(records);
        for (DocumentChange change : documents.update()) {
            if (change instanceof DocumentChange.InForce inForce) {
                String text = documents
                        .ledger()
                        .document(change.service())
                        .flatMap(DocumentRevision::text)
                        .orElseThrow();
                services.put(inForce.document(), inForce.revision(), text);
            } else if (change instanceof DocumentChange.Unreadable unreadable) {
                outbox.logEvent(DocumentChange.Unreadable.EVENT, unreadable.fields());
            }
        }
        return decisions;
    }
}
