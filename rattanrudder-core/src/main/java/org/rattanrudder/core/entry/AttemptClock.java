package org.rattanrudder.core.entry;

import org.rattanrudder.core.companion.CompanionEffect;

/** When an attempt has taken too long, and when to look at it again. */
final class AttemptClock {
    /**
     * How much later than its companion an entry ends an attempt, in microseconds: the companion may know that it
     * never ran.
     */
    static final long GRACE_MICROS = 250_000;

    /** How long a caller's connection may take nothing of an answer, in microseconds. */
    static final long CALLER_STALL_MICROS = 60_000_000;

    /**
     * How long a companion may take to say that it has an attempt, in microseconds; it does so at once, so longer means
     * that the link lost it.
     */
    static final long ACCEPT_MICROS = 500_000;

    /** Looked at this often at least, so that those of ended requests don't pile up. */
    private static final long LONGEST_LOOK_MICROS = 1_000_000;

    private AttemptClock() {}

    /** Returns the time at which the attempt counts as silent if nothing comes, in microseconds. */
    static long silentAtMicros(InFlight inFlight) {
        if (!inFlight.begun) {
            return inFlight.deadlineMicros() + GRACE_MICROS;
        }
        // A caller that reads slowly fills the window, and the companion sends nothing: that isn't the target's fault.
        boolean callerIsSlow = inFlight.untakenChunks() >= CompanionEffect.INITIAL_WINDOW_CHUNKS / 2;
        long limit = callerIsSlow
                ? Math.max(CALLER_STALL_MICROS, inFlight.progressLimitMicros())
                : inFlight.progressLimitMicros();
        return inFlight.progressMicros + limit + GRACE_MICROS;
    }

    /** Returns the time at which an attempt on a broken link is given up, in microseconds. */
    static long lostAtMicros(InFlight inFlight) {
        if (inFlight.brokenMicros < 0) {
            return Long.MAX_VALUE;
        }
        boolean movable = inFlight.terms.idempotent() && !inFlight.begun;
        return inFlight.brokenMicros + (movable ? Attempts.MOVE_MICROS : Attempts.RESUME_MICROS);
    }

    /** Returns the time at which it is doubtful that the attempt reached its companion, in microseconds. */
    static long doubtfulAtMicros(InFlight inFlight) {
        boolean isWaited = !inFlight.accepted && !inFlight.begun && inFlight.brokenMicros < 0;
        return isWaited ? inFlight.sentMicros + ACCEPT_MICROS : Long.MAX_VALUE;
    }

    /** Returns the time at which to look at the attempt again, in microseconds. */
    static long nextLookMicros(InFlight inFlight, long nowMicros) {
        long next = Math.min(nowMicros + LONGEST_LOOK_MICROS, silentAtMicros(inFlight));
        long doubtful = doubtfulAtMicros(inFlight);
        if (doubtful > nowMicros) {
            next = Math.min(next, doubtful);
        }
        return Math.min(next, lostAtMicros(inFlight));
    }
}
