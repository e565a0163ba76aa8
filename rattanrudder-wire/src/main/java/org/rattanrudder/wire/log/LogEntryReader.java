package org.rattanrudder.wire.log;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.rattanrudder.core.call.Header;
import org.rattanrudder.core.log.LogEntry;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.core.model.InstanceName;
import org.rattanrudder.core.model.ServiceName;
import org.rattanrudder.core.model.TargetName;
import org.rattanrudder.wire.generated.LogMessages.DocumentEditMessage;
import org.rattanrudder.wire.generated.LogMessages.DocumentRefreshMessage;
import org.rattanrudder.wire.generated.LogMessages.KeyClaimMessage;
import org.rattanrudder.wire.generated.LogMessages.KeyOutcomeMessage;
import org.rattanrudder.wire.generated.LogMessages.LoadClaimMessage;
import org.rattanrudder.wire.generated.LogMessages.LoadReleaseMessage;
import org.rattanrudder.wire.generated.LogMessages.LogEntryMessage;
import org.rattanrudder.wire.generated.LogMessages.OrderLeaseMessage;
import org.rattanrudder.wire.generated.LogMessages.RevisionIndexMessage;
import org.rattanrudder.wire.generated.LogMessages.RevisionMessage;

/** Maps protobuf messages to log entries; what this release can't read is empty. */
final class LogEntryReader {
    private LogEntryReader() {}

    static Optional<LogEntry> entry(LogEntryMessage message) {
        try {
            return Optional.ofNullable(read(message));
        } catch (IllegalArgumentException unreadable) {
            // A name or digest of a form that this release refuses: skipped like a kind that it doesn't know, since
            // one such entry must not keep a process from the rest of the log.
            return Optional.empty();
        }
    }

    private static LogEntry read(LogEntryMessage message) {
        return switch (message.getKindCase()) {
            case DOCUMENT_EDIT -> edit(message.getDocumentEdit());
            case DOCUMENT_REFRESH -> refresh(message.getDocumentRefresh());
            case KEY_CLAIM -> claim(message.getKeyClaim());
            case KEY_OUTCOME -> outcome(message.getKeyOutcome());
            case ORDER_LEASE -> {
                OrderLeaseMessage lease = message.getOrderLease();
                yield new LogEntry.OrderLease(
                        new ServiceName(lease.getService()),
                        new TargetName(lease.getTarget()),
                        lease.getHolder(),
                        lease.getTermMillis());
            }
            case LOAD_CLAIM -> {
                LoadClaimMessage claim = message.getLoadClaim();
                yield new LogEntry.LoadClaim(
                        new ServiceName(claim.getService()),
                        new TargetName(claim.getTarget()),
                        claim.getHolder(),
                        claim.getTermMillis());
            }
            case LOAD_RELEASE -> {
                LoadReleaseMessage release = message.getLoadRelease();
                yield new LogEntry.LoadRelease(
                        new ServiceName(release.getService()),
                        new TargetName(release.getTarget()),
                        release.getHolder());
            }
            case REVISION_INDEX -> index(message.getRevisionIndex());
            case KEY_RELEASE ->
                new LogEntry.KeyRelease(digest(message.getKeyRelease().getKey()));
            case KEY_UNRESOLVED ->
                new LogEntry.KeyUnresolved(digest(message.getKeyUnresolved().getKey()));
            case KEYS_EXPIRED ->
                new LogEntry.KeysExpired(
                        new ServiceName(message.getKeysExpired().getService()),
                        message.getKeysExpired().getUpToOffset());
            case CLAIMANT_STARTED ->
                new LogEntry.ClaimantStarted(
                        new InstanceName(message.getClaimantStarted().getInstance()));
            case KIND_NOT_SET -> null;
        };
    }

    private static LogEntry.KeyOutcome outcome(KeyOutcomeMessage message) {
        List<Header> headers = message.getHeadersList().stream()
                .map(header -> new Header(header.getName(), header.getValue()))
                .toList();
        return new LogEntry.KeyOutcome(
                digest(message.getKey()),
                message.getStatus(),
                headers,
                message.getBody().toByteArray());
    }

    private static LogEntry edit(DocumentEditMessage message) {
        return new LogEntry.DocumentEdit(
                new ServiceName(message.getService()), message.getBaseRevision(), message.getText());
    }

    private static LogEntry refresh(DocumentRefreshMessage message) {
        return new LogEntry.DocumentRefresh(
                new ServiceName(message.getService()), message.getRevision(), message.getText());
    }

    private static LogEntry claim(KeyClaimMessage message) {
        return new LogEntry.KeyClaim(
                digest(message.getKey()),
                digest(message.getRequest()),
                message.getClaimant(),
                new ServiceName(message.getService()),
                message.getReadOffset());
    }

    private static LogEntry index(RevisionIndexMessage message) {
        List<LogEntry.Revision> revisions = new ArrayList<>();
        for (RevisionMessage revision : message.getRevisionsList()) {
            revisions.add(new LogEntry.Revision(new ServiceName(revision.getService()), revision.getRevision()));
        }
        return new LogEntry.RevisionIndex(message.getPreviousOffset(), revisions);
    }

    private static Digest digest(ByteString bytes) {
        return Digest.fromBytes(bytes.toByteArray());
    }
}
