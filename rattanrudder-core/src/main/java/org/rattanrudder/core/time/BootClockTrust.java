package org.rattanrudder.core.time;

import java.util.OptionalLong;

/**
 * Decides what the clock that counts suspensions is believed.
 *
 * <p>It may be missing, or belong to another world than the process's other clocks and run faster or slower than they,
 * at a rate that changes. What it says counts once it has kept in step with the monotonic clock for a while. Where it
 * says the same as the time of day, a short proof will do; to contradict the time of day it needs a long one, since a
 * suspension that is taken for none makes a prohibition late.
 */
final class BootClockTrust {
    /** How long it must have kept in step to confirm a suspension. */
    static final long CONFIRM_MILLIS = 10_000;

    /** How long it must have kept in step to contradict the time of day, at first. */
    static final long CONTRADICT_MILLIS = 60_000;

    private static final long LONGEST_MILLIS = 3_600_000;

    /** Readings within the proof, so that a process that wakes up rarely doesn't take two of them for one. */
    private static final int PROOF_READINGS = 8;

    private long contradictMillis = CONTRADICT_MILLIS;
    private OptionalLong inStepSince = OptionalLong.empty();
    private int readings;

    void onInStep(long monotonicMillis) {
        if (inStepSince.isEmpty()) {
            inStepSince = OptionalLong.of(monotonicMillis);
        }
        readings++;
    }

    /** Handles that it can't be read or was out of step; if it was believed, the next proof takes longer. */
    void onOutOfStep(long monotonicMillis) {
        if (mayContradict(monotonicMillis)) {
            contradictMillis = Math.min(2 * contradictMillis, LONGEST_MILLIS);
        }
        inStepSince = OptionalLong.empty();
        readings = 0;
    }

    /** Returns whether a suspension that it and the time of day show took place. */
    boolean mayConfirm(long monotonicMillis) {
        return isInStepFor(CONFIRM_MILLIS, monotonicMillis);
    }

    /** Returns whether it is believed against the time of day. */
    boolean mayContradict(long monotonicMillis) {
        return isInStepFor(contradictMillis, monotonicMillis);
    }

    private boolean isInStepFor(long millis, long monotonicMillis) {
        return inStepSince.isPresent()
                && readings >= PROOF_READINGS
                && monotonicMillis - inStepSince.getAsLong() >= millis;
    }
}
