package org.rattanrudder.core.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.rattanrudder.core.configuration.EditDecision;
import org.rattanrudder.core.document.DocumentReader;
import org.rattanrudder.core.log.LogEntry;
import org.rattanrudder.core.log.LogWriter;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.Refusal;
import org.rattanrudder.core.model.ServiceName;

/**
 * Publishes operators' edits and replies with the outcome once the edit is read back from the log.
 *
 * <p>An edit is reported as not run only if it was never sent, or if another edit is in force, so that a late copy
 * can't be accepted.
 */
final class Publisher {
    /** Time in microseconds within which an edit must be read back from the log. */
    static final long READ_BACK_TIMEOUT_MICROS = 10_000_000;

    private static final long BEHIND_RETRY_MILLIS = 1_000;

    private final long writer;
    private final DocumentReader reader;
    private final Configuration configuration;
    private final LogWriter log;
    private final Outbox outbox;
    private final List<PendingEdit> pending = new ArrayList<>();

    Publisher(long writer, DocumentReader reader, Configuration configuration, LogWriter log, Outbox outbox) {
        this.writer = writer;
        this.reader = reader;
        this.configuration = configuration;
        this.log = log;
        this.outbox = outbox;
    }

    private record PendingEdit(long handle, LogEntry.DocumentEdit edit, long sinceMicros) {}

    void publish(long handle, OperatorCall.Publish call, long nowMicros) {
        Optional<Refusal> refusal = invalidDocument(call)
                .or(() -> conflict(call.service(), call.baseRevision()))
                .or(() -> logBehind(call));
        if (refusal.isPresent()) {
            refuse(handle, refusal.get());
            return;
        }
        LogEntry.DocumentEdit edit = new LogEntry.DocumentEdit(call.service(), call.baseRevision(), call.text());
        if (log.offer(edit, nowMicros) == LogWriter.OfferResult.QUEUED) {
            pending.add(new PendingEdit(handle, edit, nowMicros));
        } else {
            refuse(handle, logUnavailable(nowMicros));
        }
    }

    /** Replies to the edits of this entry for which the log's order has brought a decision. */
    void onDecisions(List<EditDecision> decisions) {
        for (EditDecision decision : decisions) {
            if (decision.writer() == writer) {
                findPending(decision.edit()).ifPresent(own -> answer(own, decision));
            }
        }
        // Another operator's edit came first, so that no copy of ours, wherever it is, can still be accepted.
        for (PendingEdit each : List.copyOf(pending)) {
            Optional<Refusal> lost = conflict(each.edit().service(), each.edit().baseRevision());
            if (lost.isPresent()) {
                log.retract(each.edit());
                pending.remove(each);
                refuse(each.handle(), lost.get());
            }
        }
    }

    /** Stops waiting for edits when the log is known to be down or the read-back timeout has expired. */
    void tick(long nowMicros) {
        boolean down = !log.isAvailable(nowMicros) || !configuration.isFollowingLog();
        for (PendingEdit each : List.copyOf(pending)) {
            if (down || nowMicros - each.sinceMicros() >= READ_BACK_TIMEOUT_MICROS) {
                giveUp(each, nowMicros);
            }
        }
    }

    /** Stops waiting for all edits, since this process ends. */
    void endAll(long nowMicros) {
        List.copyOf(pending).forEach(each -> giveUp(each, nowMicros));
    }

    private void giveUp(PendingEdit edit, long nowMicros) {
        pending.remove(edit);
        // An append whose answer was lost could still take effect after the operator was told that the edit didn't run.
        // So only an edit that was in no append is reported as not run; otherwise the outcome is unknown.
        boolean neverSent = log.retract(edit.edit());
        refuse(edit.handle(), neverSent ? logUnavailable(nowMicros) : outcomeUnknown());
    }

    boolean isIdle() {
        return pending.isEmpty();
    }

    private Optional<PendingEdit> findPending(LogEntry.DocumentEdit edit) {
        return pending.stream().filter(each -> each.edit().equals(edit)).findFirst();
    }

    private void answer(PendingEdit own, EditDecision decision) {
        pending.remove(own);
        switch (decision.verdict()) {
            case ACCEPTED ->
                outbox.emit(new EntryEffect.ReplyToOperator(
                        own.handle(), new OperatorReply.Published(decision.service(), decision.offset())));
            case VOID -> refuse(own.handle(), conflictAt(decision.service()));
            default -> refuse(own.handle(), outcomeUnknown());
        }
    }

    private Optional<Refusal> invalidDocument(OperatorCall.Publish call) {
        DocumentReader.Reading reading = reader.read(call.text());
        if (reading instanceof DocumentReader.Invalid invalid) {
            return Optional.of(new Refusal(ErrorKind.INVALID_DOCUMENT, 0, invalid.reason()));
        }
        ServiceName described = ((DocumentReader.Valid) reading).document().service();
        if (described.equals(call.service())) {
            return Optional.empty();
        }
        String detail = "the document describes " + described + ", not " + call.service();
        return Optional.of(new Refusal(ErrorKind.INVALID_DOCUMENT, 0, detail));
    }

    /** Returns a refusal if a revision other than the base is known to be in force. */
    private Optional<Refusal> conflict(ServiceName service, long baseRevision) {
        long revision = configuration.ledger().revision(service);
        boolean known = baseRevision <= configuration.ledger().lastOffset();
        return known && baseRevision != revision && configuration.ledger().isComplete()
                ? Optional.of(conflictAt(service))
                : Optional.empty();
    }

    private Refusal conflictAt(ServiceName service) {
        String detail = "revision " + configuration.ledger().revision(service) + " is in force";
        return new Refusal(ErrorKind.REVISION_CONFLICT, 0, detail);
    }

    /** Returns a refusal if this entry can't currently decide on edits. */
    private Optional<Refusal> logBehind(OperatorCall.Publish call) {
        // If the base revision isn't read yet, the edit could be appended before it and be read back as void, while a
        // copy that is resent because the answer was lost is appended after it and is accepted after all.
        boolean baseRead = call.baseRevision() <= configuration.ledger().lastOffset();
        return configuration.isFollowingLog() && baseRead
                ? Optional.empty()
                : Optional.of(new Refusal(
                        ErrorKind.LOG_UNAVAILABLE, BEHIND_RETRY_MILLIS, "this entry can't follow the log now"));
    }

    private Refusal logUnavailable(long nowMicros) {
        return new Refusal(
                ErrorKind.LOG_UNAVAILABLE, log.retryAfterMillis(nowMicros), "the platform's log takes no records now");
    }

    private static Refusal outcomeUnknown() {
        return new Refusal(
                ErrorKind.OUTCOME_UNKNOWN,
                0,
                "the edit wasn't read back and may still be accepted; show tells, and of it and another edit from the"
                        + " same revision at most one is accepted");
    }

    private void refuse(long handle, Refusal refusal) {
        outbox.emit(new EntryEffect.ReplyToOperator(handle, new OperatorReply.Refused(refusal)));
    }
}
