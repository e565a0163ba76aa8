package org.rattanrudder.core.claims;

import org.rattanrudder.core.log.LogEntry;
import org.rattanrudder.core.model.AttemptId;

/** A key that this process has claimed or is claiming, until its outcome is read back from the log. */
final class PendingKey {
    final KeyedCall call;
    final LogEntry.KeyClaim claim;
    /** When the key was claimed, by the longest time that may have passed since some start, as its timeout. */
    final long claimedAtMostMicros;

    Phase phase = Phase.CLAIMING;
    /** The one attempt that may run under the claim; null if it was cancelled or timed out. */
    AttemptId attempt;

    long timeoutAtMostMicros;
    /** The entry that records the outcome; null until there is one. */
    LogEntry outcome;

    PendingKey(KeyedCall call, long claimant, long readOffset, long atMostMicros) {
        this.call = call;
        this.claim = new LogEntry.KeyClaim(call.key(), call.request(), claimant, call.service(), readOffset);
        this.claimedAtMostMicros = atMostMicros;
    }

    /** The state of the key at this process. */
    enum Phase {
        /** The claim may be in the log, but hasn't been read back. */
        CLAIMING,
        /** The claim is valid and its attempt is running. */
        RUNNING,
        /** The outcome is being written to the log. */
        ENDING
    }
}
