package org.rattanrudder.core.entry;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.rattanrudder.core.document.ServiceKind;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.Refusal;
import org.rattanrudder.core.quarantine.Quarantine;
import org.rattanrudder.core.quarantine.RequestFingerprint;
import org.rattanrudder.core.quarantine.TargetCrash;

/**
 * Keeps a prompt that ends each engine which runs it from further engines.
 *
 * <p>A companion asks an engine whose answer broke off to go on with it, and says that it failed only if that is of no
 * use either. Each entry counts what it saw itself.
 */
final class PromptQuarantine {
    private final Quarantine quarantine = new Quarantine();
    private long crashes;

    /** Returns why a request is refused; empty if it may be sent. */
    Optional<Refusal> refusal(Admission.Terms terms, CallerRequest request, long nowMicros) {
        if (!isPrompt(terms) || quarantine.isEmpty()) {
            return Optional.empty();
        }
        OptionalLong left = quarantine.remainingMillis(fingerprint(terms, request), millis(nowMicros));
        return left.isEmpty()
                ? Optional.empty()
                : Optional.of(new Refusal(
                        ErrorKind.REQUEST_QUARANTINED, left.getAsLong(), "engines ended while they ran this prompt"));
    }

    /** Notes that an attempt failed; returns whether its prompt may be sent to no further engine. */
    boolean failed(InFlight inFlight, ErrorKind kind, long nowMicros) {
        boolean ended = kind == ErrorKind.TARGET_FAILED;
        if (!isPrompt(inFlight.terms) || !ended && quarantine.isEmpty()) {
            return false;
        }
        RequestFingerprint prompt = fingerprint(inFlight.terms, inFlight.request);
        if (ended) {
            // Which start of the engine it was isn't known: each attempt counts as one.
            crashes++;
            TargetCrash crash = new TargetCrash(inFlight.route.target().name().value(), crashes, Set.of(prompt));
            quarantine.onCrash(crash, true, millis(nowMicros));
        }
        return quarantine.remainingMillis(prompt, millis(nowMicros)).isPresent();
    }

    /** Notes a whole answer. */
    void answered(InFlight inFlight, long nowMicros) {
        if (isPrompt(inFlight.terms)) {
            quarantine.onAnswered(fingerprint(inFlight.terms, inFlight.request), millis(nowMicros));
        }
    }

    /** Lets go what was held for long enough. */
    void tick(long nowMicros) {
        quarantine.expire(millis(nowMicros));
    }

    private static boolean isPrompt(Admission.Terms terms) {
        return terms.document().kind() == ServiceKind.PROMPT;
    }

    private static RequestFingerprint fingerprint(Admission.Terms terms, CallerRequest request) {
        return RequestFingerprint.of(
                request.service(),
                request.call().path(),
                terms.customer().name().value(),
                ByteBuffer.wrap(request.call().body()));
    }

    private static long millis(long micros) {
        return TimeUnit.MICROSECONDS.toMillis(micros);
    }
}
