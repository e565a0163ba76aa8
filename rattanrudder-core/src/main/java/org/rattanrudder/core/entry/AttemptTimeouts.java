package org.rattanrudder.core.entry;

import org.rattanrudder.core.companion.CompanionEffect;

/** Computes the timeouts of an attempt and the time of its next check. */
final class AttemptTimeouts {
    /**
     * Time in microseconds by which the entry's timeouts are later than the companion's, since the companion may be
     * able to report that the attempt never ran.
     */
    static final long TIMEOUT_GRACE_MICROS = 250_000;

    /** Maximum time without a chunk being written to a slow caller's connection, in microseconds. */
    static final long CALLER_STALL_TIMEOUT_MICROS = 60_000_000;

    /**
     * Time in microseconds within which a companion must accept an attempt. It accepts at once, so a longer delay means
     * that the link lost the frame.
     */
    static final long ACCEPT_TIMEOUT_MICROS = 500_000;

    /** Maximum interval between checks, which bounds the scheduled checks of ended requests that accumulate. */
    private static final long MAX_CHECK_INTERVAL_MICROS = 1_000_000;

    private AttemptTimeouts() {}

    /** Returns the time in microseconds at which the attempt times out if it makes no progress. */
    static long progressTimeoutAtMicros(InFlightRequest inFlight) {
        if (!inFlight.answerStarted) {
            return inFlight.deadlineMicros() + TIMEOUT_GRACE_MICROS;
        }
        // A slow caller fills the flow-control window, so that the companion may send nothing; the target isn't at
        // fault.
        boolean callerIsSlow = inFlight.unwrittenChunks() >= CompanionEffect.INITIAL_WINDOW_CHUNKS / 2;
        long limit = callerIsSlow
                ? Math.max(CALLER_STALL_TIMEOUT_MICROS, inFlight.progressLimitMicros())
                : inFlight.progressLimitMicros();
        return inFlight.progressMicros + limit + TIMEOUT_GRACE_MICROS;
    }

    /** Returns the time in microseconds at which an attempt is given up because its link was lost. */
    static long linkTimeoutAtMicros(InFlightRequest inFlight) {
        if (inFlight.linkLostMicros < 0) {
            return Long.MAX_VALUE;
        }
        boolean mayFailOver = inFlight.terms.idempotent() && !inFlight.answerStarted;
        return inFlight.linkLostMicros
                + (mayFailOver ? RequestDispatcher.FAILOVER_DELAY_MICROS : RequestDispatcher.RESUME_TIMEOUT_MICROS);
    }

    /** Returns the time in microseconds by which the companion should have accepted the attempt. */
    static long acceptTimeoutAtMicros(InFlightRequest inFlight) {
        boolean awaitsAcceptance = !inFlight.accepted && !inFlight.answerStarted && inFlight.linkLostMicros < 0;
        return awaitsAcceptance ? inFlight.sentMicros + ACCEPT_TIMEOUT_MICROS : Long.MAX_VALUE;
    }

    /** Returns the time of the attempt's next check, in microseconds. */
    static long nextCheckMicros(InFlightRequest inFlight, long nowMicros) {
        long next = Math.min(nowMicros + MAX_CHECK_INTERVAL_MICROS, progressTimeoutAtMicros(inFlight));
        long acceptTimeout = acceptTimeoutAtMicros(inFlight);
        if (acceptTimeout > nowMicros) {
            next = Math.min(next, acceptTimeout);
        }
        return Math.min(next, linkTimeoutAtMicros(inFlight));
    }
}
