package org.rattanrudder.core.claims;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.rattanrudder.core.log.LogEntry;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.Digest;

/**
 * The keys that this process has claimed or is claiming, by digest and by attempt. All times are the longest that may
 * have passed, in microseconds: an attempt must not run under a claim that others may hold expired.
 */
final class PendingKeys {
    private final Map<Digest, PendingKey> byDigest = new HashMap<>();
    private final Map<AttemptId, PendingKey> byAttempt = new HashMap<>();
    private long earliestTimeoutAtMostMicros = Long.MAX_VALUE;

    /** Returns the key, or null if it isn't pending at this process. */
    PendingKey find(Digest key) {
        return byDigest.get(key);
    }

    /** Returns the key under which an attempt waits or runs, or null. */
    PendingKey find(AttemptId attempt) {
        return byAttempt.get(attempt);
    }

    int size() {
        return byDigest.size();
    }

    void add(PendingKey key) {
        byDigest.put(key.call.key(), key);
    }

    void remove(PendingKey key) {
        byDigest.remove(key.call.key());
    }

    /** Makes an attempt wait for the key's claim until its timeout. */
    void attach(PendingKey key, AttemptId attempt, long timeoutAtMostMicros) {
        key.attempt = attempt;
        key.timeoutAtMostMicros = timeoutAtMostMicros;
        byAttempt.put(attempt, key);
        earliestTimeoutAtMostMicros = Math.min(earliestTimeoutAtMostMicros, timeoutAtMostMicros);
    }

    /** Removes the key's attempt, if it has one. */
    void detach(PendingKey key) {
        byAttempt.remove(key.attempt);
        key.attempt = null;
    }

    /** Returns the keys whose attempts have timed out while waiting for their claims. */
    List<PendingKey> timedOut(long atMostMicros) {
        List<PendingKey> overdue = new ArrayList<>();
        if (atMostMicros < earliestTimeoutAtMostMicros) {
            return overdue;
        }
        earliestTimeoutAtMostMicros = Long.MAX_VALUE;
        for (PendingKey key : byAttempt.values()) {
            if (key.phase == PendingKey.Phase.CLAIMING && atMostMicros >= key.timeoutAtMostMicros) {
                overdue.add(key);
            } else if (key.phase == PendingKey.Phase.CLAIMING) {
                earliestTimeoutAtMostMicros = Math.min(earliestTimeoutAtMostMicros, key.timeoutAtMostMicros);
            }
        }
        return overdue;
    }

    /** Removes the keys without an attempt that were claimed before a time. */
    void removeClaimedBefore(long atMostMicros) {
        byDigest.values().removeIf(key -> key.attempt == null && key.claimedAtMostMicros < atMostMicros);
    }

    /** Removes the key whose outcome this log entry records, if there is one. */
    void removeCompletedBy(LogEntry entry) {
        Digest ended = completedKey(entry);
        PendingKey key = ended == null ? null : byDigest.get(ended);
        if (key != null && key.outcome != null && key.outcome.getClass() == entry.getClass()) {
            byDigest.remove(ended);
        }
    }

    private static Digest completedKey(LogEntry entry) {
        if (entry instanceof LogEntry.KeyOutcome outcome) {
            return outcome.key();
        }
        if (entry instanceof LogEntry.KeyRelease release) {
            return release.key();
        }
        return entry instanceof LogEntry.KeyUnresolved unresolved ? unresolved.key() : null;
    }
}
