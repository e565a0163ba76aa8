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
 * Publishes operators' edits and tells each operator what became of it, by reading it back from the log.
 *
 * <p>An edit is said to be not run only when that is sure: it was never sent, or another edit is in force by now, so
 * that no late copy can hold.
 */
final class Publisher {
    /** How long an edit may take to be read back, in microseconds. */
    static final long READ_BACK_MICROS = 10_000_000;

    private static final long BEHIND_RETRY_MILLIS = 1_000;

    private final long writer;
    private final DocumentReader reader;
    private final Configuration configuration;
    private final LogWriter log;
    private final Outbox outbox;
    private final List<Pending> pending = new ArrayList<>();

    Publisher(long writer, DocumentReader reader, Configuration configuration, LogWriter log, Outbox outbox) {
        this.writer = writer;
        this.reader = reader;
        this.configuration = configuration;
        this.log = log;
        this.outbox = outbox;
    }

    private record Pending(long handle, LogEntry.DocumentEdit edit, long sinceMicros) {}

    void publish(long handle, OperatorCall.Publish call, long nowMicros) {
        Optional<Refusal> refusal = fault(call)
                .or(() -> conflict(call.service(), call.baseRevision()))
                .or(() -> behind(call));
        if (refusal.isPresent()) {
            refuse(handle, refusal.get());
            return;
        }
        LogEntry.DocumentEdit edit = new LogEntry.DocumentEdit(call.service(), call.baseRevision(), call.text());
        if (log.offer(edit, nowMicros) == LogWriter.OfferResult.QUEUED) {
            pending.add(new Pending(handle, edit, nowMicros));
        } else {
            refuse(handle, logUnavailable(nowMicros));
        }
    }

    /** Looks for own edits among those that the log's order has decided. */
    void readBack(List<EditDecision> decisions) {
        for (EditDecision decision : decisions) {
            if (decision.writer() == writer) {
                firstOf(decision.edit()).ifPresent(own -> answer(own, decision));
            }
        }
        // Another operator's edit came first: no copy of ours can hold any more, wherever it is.
        for (Pending each : List.copyOf(pending)) {
            Optional<Refusal> lost = conflict(each.edit().service(), each.edit().baseRevision());
            if (lost.isPresent()) {
                log.retract(each.edit());
                pending.remove(each);
                refuse(each.handle(), lost.get());
            }
        }
    }

    /** Gives up waiting as soon as the log is known to be down, or when it takes too long. */
    void tick(long nowMicros) {
        boolean down = !log.isAvailable(nowMicros) || !configuration.followsLog();
        for (Pending each : List.copyOf(pending)) {
            if (!down && nowMicros - each.sinceMicros() < READ_BACK_MICROS) {
                continue;
            }
            pending.remove(each);
            // Failure: an append whose answer was lost takes effect after the operator was told it never would. Only an
            // edit that no append has carried is not run; of any other the outcome is unknown.
            boolean neverSent = log.retract(each.edit());
            refuse(each.handle(), neverSent ? logUnavailable(nowMicros) : unknown());
        }
    }

    boolean isIdle() {
        return pending.isEmpty();
    }

    private Optional<Pending> firstOf(LogEntry.DocumentEdit edit) {
        return pending.stream().filter(each -> each.edit().equals(edit)).findFirst();
    }

    private void answer(Pending own, EditDecision decision) {
        pending.remove(own);
        switch (decision.verdict()) {
            case ACCEPTED ->
                outbox.emit(new EntryEffect.ReplyToOperator(
                        own.handle(), new OperatorReply.Published(decision.service(), decision.offset())));
            case VOID -> refuse(own.handle(), conflictAt(decision.service()));
            default -> refuse(own.handle(), unknown());
        }
    }

    private Optional<Refusal> fault(OperatorCall.Publish call) {
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

    /** Returns a refusal if another revision than the base is known to be in force. */
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

    /** Returns a refusal if this entry can't decide edits now. */
    private Optional<Refusal> behind(OperatorCall.Publish call) {
        // Failure: an edit from a revision that this entry hasn't read yet is appended before it and read back as void,
        // and a copy of it, sent again since the answer was lost, lands behind that revision and holds after all.
        boolean baseRead = call.baseRevision() <= configuration.ledger().lastOffset();
        return configuration.followsLog() && baseRead
                ? Optional.empty()
                : Optional.of(new Refusal(
                        ErrorKind.LOG_UNAVAILABLE, BEHIND_RETRY_MILLIS, "this entry can't follow the log now"));
    }

    private Refusal logUnavailable(long nowMicros) {
        return new Refusal(
                ErrorKind.LOG_UNAVAILABLE, log.retryAfterMillis(nowMicros), "the platform's log takes no records now");
    }

    private static Refusal unknown() {
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
