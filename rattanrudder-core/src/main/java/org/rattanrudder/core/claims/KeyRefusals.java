package org.rattanrudder.core.claims;

import java.util.random.RandomGenerator;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.Refusal;

/**
 * Creates the refusals of calls with idempotency keys. Retry-after times have jitter, so that callers don't retry all
 * at once.
 */
final class KeyRefusals {
    private static final long MICROS_PER_MILLI = 1_000;

    private final long claimWaitMillis;
    private final RandomGenerator random;

    KeyRefusals(long claimWaitMicros, RandomGenerator random) {
        this.claimWaitMillis = claimWaitMicros / MICROS_PER_MILLI;
        this.random = random;
    }

    KeyDecision logUnavailable(long waitMillis, String detail) {
        return refuse(ErrorKind.LOG_UNAVAILABLE, withJitter(waitMillis), detail);
    }

    KeyDecision overloaded() {
        return refuse(ErrorKind.OVERLOADED, withJitter(claimWaitMillis), "too many keys wait for their claims");
    }

    KeyDecision inProgress() {
        return refuse(
                ErrorKind.KEY_IN_PROGRESS, withJitter(claimWaitMillis), "the call of this idempotency key is running");
    }

    /**
     * Refuses a call whose key belongs to a running call: as in progress if it is the same call, otherwise as reused.
     */
    KeyDecision inProgressOrReused(KeyedCall known, KeyedCall call) {
        return known.equals(call) ? inProgress() : reused();
    }

    static KeyDecision reused() {
        return refuse(ErrorKind.KEY_REUSED, 0, "the idempotency key was used for another request");
    }

    static KeyDecision outcomeUnknown() {
        return refuse(ErrorKind.OUTCOME_UNKNOWN, 0, "the call may have run, and its answer is not known");
    }

    private static KeyDecision refuse(ErrorKind kind, long retryAfterMillis, String detail) {
        return new KeyDecision.Refuse(new Refusal(kind, retryAfterMillis, detail));
    }

    private long withJitter(long millis) {
        return millis + random.nextLong(millis + 1);
    }
}
