package org.rattanrudder.core.entry;

import java.util.Optional;
import org.rattanrudder.core.call.Usage;
import org.rattanrudder.core.document.RequestClass;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.Refusal;

/** Gives each request its one final answer and accounts for it. */
final class Endings {
    private static final int CLIENT_CLOSED_STATUS = ErrorKind.CANCELLED.status();

    private final long entryIncarnation;
    private final Requests requests;
    private final ServiceTable services;
    private final Outbox outbox;
    private final PromptQuarantine quarantine;

    Endings(
            long entryIncarnation,
            Requests requests,
            ServiceTable services,
            Outbox outbox,
            PromptQuarantine quarantine) {
        this.entryIncarnation = entryIncarnation;
        this.requests = requests;
        this.services = services;
        this.outbox = outbox;
        this.quarantine = quarantine;
    }

    long entryIncarnation() {
        return entryIncarnation;
    }

    /** The answer is whole. */
    void answered(InFlight inFlight, long nowMicros) {
        quarantine.answered(inFlight, nowMicros);
        outbox.emit(new EntryEffect.EndAnswer(inFlight.sequence));
        inFlight.service().returns().answered(nowMicros);
        inFlight.service().pool().recordServiceTime(nowMicros - inFlight.arrivedMicros - inFlight.usage.queuedMicros());
        finish(inFlight, Optional.empty(), inFlight.status, nowMicros);
    }

    /** The request ends with an error, at once and only with what is true of it. */
    void refuse(InFlight inFlight, Refusal refusal, long nowMicros) {
        Refusal truthful = Attempts.truthful(refusal, inFlight.mayHaveRun);
        Refusal timed = withReturn(inFlight.service(), truthful, nowMicros);
        outbox.emit(new EntryEffect.Refuse(inFlight.sequence, timed));
        int status = inFlight.begun ? inFlight.status : timed.kind().status();
        finish(inFlight, Optional.of(timed.kind()), status, nowMicros);
    }

    /** The caller went away; nobody hears an answer. */
    void cancelled(InFlight inFlight, long nowMicros) {
        finish(inFlight, Optional.of(ErrorKind.CANCELLED), CLIENT_CLOSED_STATUS, nowMicros);
    }

    /** A request is refused before it was admitted. */
    void refuseUnadmitted(long sequence, CallerRequest request, Admission.Refused refused, long nowMicros) {
        Refusal refusal = services.service(request.service())
                .map(service -> withReturn(service, refused.refusal(), nowMicros))
                .orElse(refused.refusal());
        outbox.emit(new EntryEffect.Refuse(sequence, refusal));
        RequestSummary summary = new RequestSummary(
                requestId(sequence),
                request.service(),
                refused.customer(),
                refused.requestClass(),
                "",
                0,
                -1,
                0,
                Optional.of(refusal.kind()),
                refusal.kind().status(),
                Usage.NONE);
        Optional<RequestClass> objective = services.service(request.service())
                .flatMap(service -> service.document().requestClass(refused.requestClass()));
        outbox.emit(new EntryEffect.RequestEnded(summary, objective));
    }

    private static Refusal withReturn(ServedService service, Refusal refusal, long nowMicros) {
        boolean hasOwnTime = refusal.kind() == ErrorKind.REQUEST_QUARANTINED;
        if (hasOwnTime || refusal.kind().retryAdvice() != ErrorKind.RetryAdvice.LATER) {
            return refusal;
        }
        long after = service.returns().retryAfterMillis(refusal.retryAfterMillis(), nowMicros);
        return new Refusal(refusal.kind(), after, refusal.detail());
    }

    private void finish(InFlight inFlight, Optional<ErrorKind> error, int status, long nowMicros) {
        requests.remove(inFlight);
        RequestSummary summary = new RequestSummary(
                requestId(inFlight.sequence),
                inFlight.request.service(),
                inFlight.customer().name().value(),
                inFlight.requestClass().name(),
                inFlight.route == null ? "" : inFlight.route.target().name().value(),
                inFlight.attempts,
                inFlight.firstByteMicros < 0 ? -1 : inFlight.firstByteMicros - inFlight.arrivedMicros,
                nowMicros - inFlight.arrivedMicros,
                error,
                status,
                inFlight.usage);
        outbox.emit(new EntryEffect.RequestEnded(summary, Optional.of(inFlight.requestClass())));
    }

    private String requestId(long sequence) {
        return new AttemptId(entryIncarnation, sequence, 1).requestId();
    }
}
