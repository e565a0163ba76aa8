package org.rattanrudder.core.entry;

import java.util.HashSet;
import java.util.Set;
import org.rattanrudder.core.call.Usage;
import org.rattanrudder.core.document.CustomerSettings;
import org.rattanrudder.core.document.RequestClass;
import org.rattanrudder.core.document.ServiceDocument;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.TargetName;
import org.rattanrudder.core.routing.Affinity;
import org.rattanrudder.core.routing.Route;
import org.rattanrudder.core.routing.RoutingQuery;
import org.rattanrudder.core.time.EventTime;

/** The state of an admitted request until its final answer, with its current attempt. */
final class InFlightRequest {
    private static final long MICROS_PER_MILLI = 1_000;

    final long sequence;
    final CallerRequest request;
    final Admission.Terms terms;
    final long arrivedMicros;
    private final long arrivedAtMostMicros;

    /** Targets that already had an attempt. */
    final Set<TargetName> triedTargets = new HashSet<>();

    AttemptId attempt;
    /** Route of the current attempt; null before the first dispatch. */
    Route route;

    long companionIncarnation;
    int attemptCount;
    boolean accepted;
    /** Whether an earlier attempt may have run, so that no refusal may claim that the request didn't run. */
    boolean mayHaveRun;
    /** Whether the head of the answer was sent to the caller, after which no other attempt can answer. */
    boolean answerStarted;

    int status;
    long nextChunk;
    long writtenChunks;
    /** Chunks before this one earn no credit, because the companion's window was reset here. */
    long creditStartChunk;

    int pendingCredit;
    long firstByteMicros = -1;
    /** Time at which the attempt was sent. */
    long sentMicros;
    /** Time of the answer's last progress. */
    long progressMicros;
    /** Time at which the attempt's link was lost; -1 while it is open. */
    long linkLostMicros = -1;

    /** Time at which missing chunks were last requested. */
    long resumeSentMicros = Long.MIN_VALUE / 2;
    /** Whether chunks were found missing since then. */
    boolean hasMissingChunks;

    long nextCheckMicros = Long.MAX_VALUE;
    Usage usage = Usage.NONE;

    InFlightRequest(long sequence, CallerRequest request, Admission.Terms terms, EventTime arrivedAt) {
        this.sequence = sequence;
        this.request = request;
        this.terms = terms;
        arrivedMicros = arrivedAt.atLeastMicros();
        arrivedAtMostMicros = arrivedAt.atMostMicros();
        progressMicros = arrivedMicros;
    }

    ServedService service() {
        return terms.service();
    }

    ServiceDocument document() {
        return terms.document();
    }

    CustomerSettings customer() {
        return terms.customer();
    }

    RequestClass requestClass() {
        return terms.requestClass();
    }

    /** Returns the companion of the current attempt; null before the first dispatch. */
    Address companion() {
        return route == null ? null : route.target().companion();
    }

    /** Returns the time at which the first byte is due, in microseconds. */
    long deadlineMicros() {
        return arrivedMicros + deadlineAfterMicros();
    }

    /** Returns the time that is left for sure until the first byte is due, in microseconds; negative if none. */
    long certainlyLeftMicros(LongestTime now) {
        return arrivedAtMostMicros + deadlineAfterMicros() - now.micros();
    }

    private long deadlineAfterMicros() {
        return requestClass().deadlineMillis() * MICROS_PER_MILLI;
    }

    /** Returns the maximum time without progress of a running attempt, in microseconds. */
    long progressLimitMicros() {
        return document().limits().progressMillis() * MICROS_PER_MILLI;
    }

    /** Returns the number of chunks that aren't written to the caller's connection yet. */
    long unwrittenChunks() {
        return nextChunk - writtenChunks;
    }

    RoutingQuery query() {
        if (terms.affinity() == Affinity.NONE) {
            return RoutingQuery.withoutAffinity(triedTargets);
        }
        return new RoutingQuery(
                terms.affinity(),
                terms.affinityKey(),
                terms.contextTokens(),
                service().costs(),
                triedTargets);
    }
}
