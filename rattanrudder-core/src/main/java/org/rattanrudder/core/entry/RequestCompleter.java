package org.rattanrudder.core.entry;

import java.util.Optional;
import org.rattanrudder.core.call.Usage;
import org.rattanrudder.core.document.RequestClass;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.Refusal;

/** Completes each request with exactly one final answer and records its summary. */
final class RequestCompleter {
    private static final long MICROS_PER_MILLI = 1_000;
    private static final int CLIENT_CLOSED_STATUS = ErrorKind.CANCELLED.status();

    private final long entryIncarnation;
    private final InFlightRequests requests;
    private final ServiceTable services;
    private final Outbox outbox;
    private final PromptQuarantine quarantine;

    RequestCompleter(
            long entryIncarnation,
            InFlightRequests requests,
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

    /** Completes a request whose answer is complete. */
    void onAnswered(InFlightRequest inFlight, long nowMicros) {
        quarantine.onAnswered(inFlight, nowMicros);
        outbox.emit(new EntryEffect.EndAnswer(inFlight.sequence));
        inFlight.service().retryAfterScheduler().onAnswered(nowMicros);
        inFlight.service()
                .durations(inFlight.requestClass())
                .record((nowMicros - inFlight.arrivedMicros) / MICROS_PER_MILLI);
        inFlight.service().pool().recordServiceTime(nowMicros - inFlight.arrivedMicros - inFlight.usage.queuedMicros());
        finish(inFlight, Optional.empty(), inFlight.status, nowMicros);
    }

    /** Completes a request with an error, which claims no more than is known about earlier attempts. */
    void refuse(InFlightRequest inFlight, Refusal refusal, long nowMicros) {
        Refusal truthful = RequestDispatcher.withProvableRunState(refusal, inFlight.mayHaveRun);
        Refusal timed = withRetryAfter(inFlight.service(), truthful, nowMicros);
        outbox.emit(new EntryEffect.Refuse(inFlight.sequence, timed));
        int status = inFlight.answerStarted ? inFlight.status : timed.kind().status();
        finish(inFlight, Optional.of(timed.kind()), status, nowMicros);
    }

    /** Completes a request whose caller has disconnected, without an answer. */
    void onCancelled(InFlightRequest inFlight, long nowMicros) {
        finish(inFlight, Optional.of(ErrorKind.CANCELLED), CLIENT_CLOSED_STATUS, nowMicros);
    }

    /** Refuses a request that was not admitted. */
    void refuseUnadmitted(long sequence, CallerRequest request, Admission.Refused refused, long nowMicros) {
        Refusal refusal = services.service(request.service())
                .map(service -> withRetryAfter(service, refused.refusal(), nowMicros))
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

    private static Refusal withRetryAfter(ServedService service, Refusal refusal, long nowMicros) {
        boolean hasOwnTime = refusal.kind() == ErrorKind.REQUEST_QUARANTINED;
        if (hasOwnTime || refusal.kind().retryAdvice() != ErrorKind.RetryAdvice.LATER) {
            return refusal;
        }
        long after = service.retryAfterScheduler().retryAfterMillis(refusal.retryAfterMillis(), nowMicros);
        return new Refusal(refusal.kind(), after, refusal.detail());
    }

    private void finish(InFlightRequest inFlight, Optional<ErrorKind> error, int status, long nowMicros) {
        requests.remove(inFlight);
        RequestSummary summary = new RequestSummary(
                requestId(inFlight.sequence),
                inFlight.request.service(),
                inFlight.customer().name().value(),
                inFlight.requestClass().name(),
                inFlight.route == null ? "" : inFlight.route.target().name().value(),
                inFlight.attemptCount,
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
