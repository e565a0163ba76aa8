package org.rattanrudder.wire.log;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import org.rattanrudder.core.call.Header;
import org.rattanrudder.core.log.LogEntry;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.wire.generated.CommonMessages.HeaderMessage;
import org.rattanrudder.wire.generated.LogMessages.ClaimantStartedMessage;
import org.rattanrudder.wire.generated.LogMessages.DocumentEditMessage;
import org.rattanrudder.wire.generated.LogMessages.DocumentRefreshMessage;
import org.rattanrudder.wire.generated.LogMessages.KeyClaimMessage;
import org.rattanrudder.wire.generated.LogMessages.KeyOutcomeMessage;
import org.rattanrudder.wire.generated.LogMessages.KeyReleaseMessage;
import org.rattanrudder.wire.generated.LogMessages.KeyUnresolvedMessage;
import org.rattanrudder.wire.generated.LogMessages.KeysExpiredMessage;
import org.rattanrudder.wire.generated.LogMessages.LoadClaimMessage;
import org.rattanrudder.wire.generated.LogMessages.LoadReleaseMessage;
import org.rattanrudder.wire.generated.LogMessages.LogEntryMessage;
import org.rattanrudder.wire.generated.LogMessages.OrderLeaseMessage;
import org.rattanrudder.wire.generated.LogMessages.RevisionIndexMessage;
import org.rattanrudder.wire.generated.LogMessages.RevisionMessage;

/** Maps log entries to their protobuf messages. */
final class LogEntryWriter {
    private LogEntryWriter() {}

    static LogEntryMessage message(LogEntry entry) {
        LogEntryMessage.Builder message = LogEntryMessage.newBuilder();
        if (entry instanceof LogEntry.DocumentEdit edit) {
            return message.setDocumentEdit(DocumentEditMessage.newBuilder()
                            .setService(edit.service().value())
                            .setBaseRevision(edit.baseRevision())
                            .setText(edit.text()))
                    .build();
        }
        if (entry instanceof LogEntry.DocumentRefresh refresh) {
            return message.setDocumentRefresh(DocumentRefreshMessage.newBuilder()
                            .setService(refresh.service().value())
                            .setRevision(refresh.revision())
                            .setText(refresh.text()))
                    .build();
        }
        if (entry instanceof LogEntry.KeyClaim claim) {
            return message.setKeyClaim(KeyClaimMessage.newBuilder()
                            .setKey(digestBytes(claim.key()))
                            .setRequest(digestBytes(claim.request()))
                            .setClaimant(claim.claimant())
                            .setService(claim.service().value())
                            .setReadOffset(claim.readOffset()))
                    .build();
        }
        if (entry instanceof LogEntry.KeyOutcome outcome) {
            return message.setKeyOutcome(outcomeMessage(outcome)).build();
        }
        return holderMessage(message, entry);
    }

    private static LogEntryMessage holderMessage(LogEntryMessage.Builder message, LogEntry entry) {
        if (entry instanceof LogEntry.OrderLease lease) {
            return message.setOrderLease(OrderLeaseMessage.newBuilder()
                            .setService(lease.service().value())
                            .setTarget(lease.target().value())
                            .setHolder(lease.holder())
                            .setTermMillis(lease.termMillis()))
                    .build();
        }
        if (entry instanceof LogEntry.LoadClaim claim) {
            return message.setLoadClaim(LoadClaimMessage.newBuilder()
                            .setService(claim.service().value())
                            .setTarget(claim.target().value())
                            .setHolder(claim.holder())
                            .setTermMillis(claim.termMillis()))
                    .build();
        }
        if (entry instanceof LogEntry.LoadRelease release) {
            return message.setLoadRelease(LoadReleaseMessage.newBuilder()
                            .setService(release.service().value())
                            .setTarget(release.target().value())
                            .setHolder(release.holder()))
                    .build();
        }
        return keyMessage(message, entry);
    }

    private static KeyOutcomeMessage outcomeMessage(LogEntry.KeyOutcome outcome) {
        KeyOutcomeMessage.Builder message = KeyOutcomeMessage.newBuilder()
                .setKey(digestBytes(outcome.key()))
                .setStatus(outcome.status())
                .setBody(UnsafeByteOperations.unsafeWrap(outcome.body()));
        for (Header header : outcome.headers()) {
            message.addHeaders(HeaderMessage.newBuilder().setName(header.name()).setValue(header.value()));
        }
        return message.build();
    }

    private static LogEntryMessage keyMessage(LogEntryMessage.Builder message, LogEntry entry) {
        if (entry instanceof LogEntry.KeyRelease release) {
            return message.setKeyRelease(KeyReleaseMessage.newBuilder().setKey(digestBytes(release.key())))
                    .build();
        }
        if (entry instanceof LogEntry.KeyUnresolved unresolved) {
            return message.setKeyUnresolved(KeyUnresolvedMessage.newBuilder().setKey(digestBytes(unresolved.key())))
                    .build();
        }
        if (entry instanceof LogEntry.KeysExpired expired) {
            return message.setKeysExpired(KeysExpiredMessage.newBuilder()
                            .setService(expired.service().value())
                            .setUpToOffset(expired.upToOffset()))
                    .build();
        }
        if (entry instanceof LogEntry.ClaimantStarted started) {
            return message.setClaimantStarted(ClaimantStartedMessage.newBuilder()
                            .setInstance(started.instance().value()))
                    .build();
        }
        if (entry instanceof LogEntry.RevisionIndex index) {
            return message.setRevisionIndex(indexMessage(index)).build();
        }
        throw new IllegalArgumentException("no message for " + entry.getClass().getSimpleName());
    }

    private static RevisionIndexMessage indexMessage(LogEntry.RevisionIndex index) {
        RevisionIndexMessage.Builder message =
                RevisionIndexMessage.newBuilder().setPreviousOffset(index.previousOffset());
        for (LogEntry.Revision revision : index.revisions()) {
            message.addRevisions(RevisionMessage.newBuilder()
                    .setService(revision.service().value())
                    .setRevision(revision.revision()));
        }
        return message.build();
    }

    private static ByteString digestBytes(Digest digest) {
        return UnsafeByteOperations.unsafeWrap(digest.toBytes());
    }
}
