package org.rattanrudder.core.companion;

import java.util.List;
import org.rattanrudder.core.configuration.DocumentChange;
import org.rattanrudder.core.configuration.PeerConfigurationExchange;
import org.rattanrudder.core.configuration.ServiceDocuments;
import org.rattanrudder.core.document.DocumentReader;
import org.rattanrudder.core.document.ServiceDocument;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.log.LogRecord;

/** The documents that are active at this companion, read from the log or, while it can't be read, from entries. */
final class ActiveDocuments {
    private final ServiceDocuments documents;
    private final PeerConfigurationExchange peers;

    ActiveDocuments(DocumentReader reader) {
        documents = new ServiceDocuments(reader);
        peers = new PeerConfigurationExchange(documents.ledger());
    }

    /** Applies records that were read from the log; returns whether an active document changed. */
    boolean onLogRead(List<LogRecord> records, EventContext context) {
        peers.onLogRead();
        return apply(records, context);
    }

    void onLogReadFailed() {
        peers.onLogReadFailed();
    }

    void onLinkOpened(long link, EventContext context) {
        peers.requestOnLinkOpened(context.nowMicros()).ifPresent(request -> send(link, request, context));
    }

    /** Handles a heartbeat or a configuration frame and ignores others; returns whether an active document changed. */
    boolean onFrame(long link, Frame frame, EventContext context) {
        if (frame instanceof Frame.Heartbeat heartbeat) {
            peers.requestOnHeartbeat(heartbeat.revisions(), context.nowMicros())
                    .ifPresent(request -> send(link, request, context));
        } else if (frame instanceof Frame.ConfigurationRequest request) {
            peers.answer(request).forEach(answer -> send(link, answer, context));
        } else if (frame instanceof Frame.ConfigurationRecords received && peers.acceptsRecords()) {
            return apply(received.records(), context);
        }
        return false;
    }

    List<ServiceDocument> documents() {
        return documents.documents();
    }

    List<Frame.ServiceRevision> revisions() {
        return documents.revisions();
    }

    private boolean apply(List<LogRecord> records, EventContext context) {
        documents.apply(records);
        boolean changed = false;
        for (DocumentChange change : documents.update()) {
            changed |= change instanceof DocumentChange.InForce;
            if (change instanceof DocumentChange.Unreadable unreadable) {
                context.logEvent(DocumentChange.Unreadable.EVENT, unreadable.fields());
            }
        }
        return changed;
    }

    private static void send(long link, Frame frame, EventContext context) {
        context.emit(new CompanionEffect.SendFrame(link, frame));
    }
}
