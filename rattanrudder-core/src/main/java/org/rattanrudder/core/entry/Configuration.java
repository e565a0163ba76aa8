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

/** Puts the documents of the configuration stream into force, and keeps them alive there. */
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

    /** Returns whether the log's order decides edits here now. */
    boolean followsLog() {
        return caughtUp && !peers.needsPeers();
    }

    /** Returns whether there is enough to serve by: the log's end was reached, or peers told during an outage. */
    boolean isKnown() {
        return caughtUp || !documents.revisions().isEmpty();
    }

    /** Takes records of the log; returns what became of the edits in them. */
    List<EditDecision> read(List<LogRecord> records, boolean atEnd) {
        caughtUp |= atEnd;
        peers.onLogRead();
        return take(records);
    }

    void readFailed() {
        peers.onLogReadFailed();
    }

    void linked(Address companion, long nowMicros) {
        peers.requestOnLinkOpened(nowMicros).ifPresent(question -> outbox.send(companion, question));
    }

    void heard(Address companion, Frame.Heartbeat heartbeat, long nowMicros) {
        peers.requestOnHeartbeat(heartbeat.revisions(), nowMicros)
                .ifPresent(question -> outbox.send(companion, question));
    }

    void asked(Address companion, Frame.ConfigurationRequest request) {
        peers.answer(request).forEach(answer -> outbox.send(companion, answer));
    }

    /** Takes what a companion holds, unless the log itself can tell. */
    void told(List<LogRecord> records) {
        if (peers.needsPeers()) {
            take(records);
        }
    }

    void tick(long nowMicros) {
        if (caughtUp && log.isAvailable(nowMicros)) {
            upkeep.tick(documents.ledger(), nowMicros, entry -> log.offer(entry, nowMicros));
        }
    }

    private List<EditDecision> take(List<LogRecord> records) {
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
                outbox.note(DocumentChange.Unreadable.EVENT, unreadable.fields());
            }
        }
        return decisions;
    }
}
