package org.rattanrudder.core.companion;

import java.util.List;
import org.rattanrudder.core.configuration.DocumentChange;
import org.rattanrudder.core.configuration.PeerConfigurationExchange;
import org.rattanrudder.core.configuration.ServiceDocuments;
import org.rattanrudder.core.document.DocumentReader;
import org.rattanrudder.core.document.ServiceDocument;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.log.LogRecord;

/** The documents in force at this companion, from the log or, while it can't be read, from the entries. */
final class DocumentsInForce {
    private final ServiceDocuments documents;
    private final PeerConfigurationExchange peers;

    DocumentsInForce(DocumentReader reader) {
        documents = new ServiceDocuments(reader);
        peers = new PeerConfigurationExchange(documents.ledger());
    }

    /** Takes records from the log; returns whether a document changed. */
    boolean read(List<LogRecord> records, Turn turn) {
        peers.onLogRead();
        return take(records, turn);
    }

    void readFailed() {
        peers.onLogReadFailed();
    }

    void linked(long link, Turn turn) {
        peers.requestOnLinkOpened(turn.nowMicros()).ifPresent(question -> send(link, question, turn));
    }

    /** Takes a frame about configuration or a heartbeat; returns whether a document changed. */
    boolean hear(long link, Frame frame, Turn turn) {
        if (frame instanceof Frame.Heartbeat heartbeat) {
            peers.requestOnHeartbeat(heartbeat.revisions(), turn.nowMicros())
                    .ifPresent(question -> send(link, question, turn));
        } else if (frame instanceof Frame.ConfigurationRequest request) {
            peers.answer(request).forEach(answer -> send(link, answer, turn));
        } else if (frame instanceof Frame.ConfigurationRecords told && peers.needsPeers()) {
            return take(told.records(), turn);
        }
        return false;
    }

    List<ServiceDocument> documents() {
        return documents.documents();
    }

    List<Frame.ServiceRevision> revisions() {
        return documents.revisions();
    }

    private boolean take(List<LogRecord> records, Turn turn) {
        documents.apply(records);
        boolean changed = false;
        for (DocumentChange change : documents.update()) {
            changed |= change instanceof DocumentChange.InForce;
            if (change instanceof DocumentChange.Unreadable unreadable) {
                turn.note(DocumentChange.Unreadable.EVENT, unreadable.fields());
            }
        }
        return changed;
    }

    private static void send(long link, Frame frame, Turn turn) {
        turn.ask(new CompanionEffect.SendFrame(link, frame));
    }
}
