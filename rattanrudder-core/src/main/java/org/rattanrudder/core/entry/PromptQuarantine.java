package org.rattanrudder.core.entry;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.rattanrudder.core.document.ServiceKind;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.Refusal;
import org.rattanrudder.core.quarantine.Feature;
import org.rattanrudder.core.quarantine.Quarantine;
import org.rattanrudder.core.quarantine.RequestFingerprint;
import org.rattanrudder.core.quarantine.TargetCrash;

/**
 * Quarantines prompts that crash the engines which run them, so that they are sent to no further engine.
 *
 * <p>When an engine aborts an answer, the companion first asks it to resume the answer, and reports a failure only if
 * that fails too. Each entry counts the crashes that were reported to it.
 */
final class PromptQuarantine {
    private final Quarantine quarantine = new Quarantine();
    private long crashes;

    /** Returns the refusal of a quarantined request; empty if the request may be sent. */
    Optional<Refusal> refusal(Admission.Terms terms, CallerRequest request, long nowMicros) {
        if (!isPrompt(terms) || quarantine.isEmpty()) {
            return Optional.empty();
        }
        List<Feature> prompt = features(terms, request);
        OptionalLong left = quarantine.remainingMillis(prompt, millis(nowMicros));
        return left.isEmpty() || isTried(prompt, millis(nowMicros))
                ? Optional.empty()
                : Optional.of(new Refusal(
                        ErrorKind.REQUEST_QUARANTINED, left.getAsLong(), "engines ended while they ran this prompt"));
    }

    /**
     * Returns whether a quarantined prompt is sent to tell a piece that many prompts share from several rarer causes.
     * Other causes aren't tried, since entries can't bound their trials together.
     */
    private boolean isTried(List<Feature> prompt, long nowMillis) {
        quarantine
                .causeToTry(prompt, nowMillis)
                .filter(quarantine::isInDoubt)
                .ifPresent(cause -> quarantine.onTrialGranted(cause, quarantine.trialsOf(cause) + 1, nowMillis));
        return quarantine.takeTrial(prompt, nowMillis);
    }

    /** Records a failed attempt and returns whether its prompt is quarantined. */
    boolean onFailed(InFlightRequest inFlight, ErrorKind kind, long nowMicros) {
        boolean ended = kind == ErrorKind.TARGET_FAILED;
        if (!isPrompt(inFlight.terms) || !ended && quarantine.isEmpty()) {
            return false;
        }
        List<Feature> prompt = features(inFlight.terms, inFlight.request);
        if (ended) {
            // It isn't known which start of the engine crashed, so each failed attempt counts as a crash of its own.
            crashes++;
            long now = millis(nowMicros);
            TargetCrash crash = new TargetCrash(
                    inFlight.route.target().name().value(),
                    crashes,
                    now,
                    List.of(new TargetCrash.SuspectRequest(
                            Set.copyOf(prompt), millis(nowMicros - inFlight.sentMicros))),
                    quarantine.answeredAmong(prompt, now));
            quarantine.onCrash(crash, true, now);
        }
        return quarantine.remainingMillis(prompt, millis(nowMicros)).isPresent();
    }

    /** Records a complete answer. */
    void onAnswered(InFlightRequest inFlight, long nowMicros) {
        if (isPrompt(inFlight.terms)) {
            quarantine.onAnswered(
                    features(inFlight.terms, inFlight.request), millis(inFlight.sentMicros), millis(nowMicros));
            quarantine.takeAnswersToTell();
        }
    }

    /** Releases prompts whose quarantine has expired. */
    void tick(long nowMicros) {
        quarantine.expire(millis(nowMicros));
    }

    private static boolean isPrompt(Admission.Terms terms) {
        return terms.document().kind() == ServiceKind.PROMPT;
    }

    private static List<Feature> features(Admission.Terms terms, CallerRequest request) {
        RequestFingerprint fingerprint = RequestFingerprint.of(
                request.service(),
                request.call().path(),
                terms.customer().name().value(),
                ByteBuffer.wrap(request.call().body()));
        return Feature.ofPrompt(
                fingerprint, terms.customer().name().value(), request.prompt().pieces());
    }

    private static long millis(long micros) {
        return TimeUnit.MICROSECONDS.toMillis(micros);
    }
}
