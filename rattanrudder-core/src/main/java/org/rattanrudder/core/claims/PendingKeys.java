package org.rattanrudder.core.claims;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.rattanrudder.core.log.LogEntry;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.Digest;

/** The keys that this process has claimed or is claiming, by digest and by attempt. */
final class PendingKeys {
    private final Map<Digest, PendingKey> byDigest = new HashMap<>();
    private final Map<AttemptId, PendingKey> byAttempt = new HashMap<>();
    private long earliestTimeoutMicros = Long.MAX_VALUE;

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
    void attach(PendingKey key, AttemptId attempt, long timeoutAtMicros) {
        key.attempt = attempt;
        key.timeoutAtMicros = timeoutAtMicros;
        byAttempt.put(attempt, key);
        earliestTimeoutMicros = Math.min(earliestTimeoutMicros, timeoutAtMicros);
    }

    /** Removes the key's attempt, if it has one. */
    void detach(PendingKey key) {
        byAttempt.remove(key.attempt);
        key.attempt = null;
    }

    /** Returns the keys whose attempts have timed out while waiting for their claims. */
    List<PendingKey> timedOut(long nowMicros) {
        List<PendingKey> overdue = new ArrayList<>();
        if (nowMicros < earliestTimeoutMicros) {
            return overdue;
        }
        earliestTimeoutMicros = Long.MAX_VALUE;
        for (PendingKey key : byAttempt.values()) {
            if (key.phase == PendingKey.Phase.CLAIMING && nowMicros >= key.timeoutAtMicros) {
                overdue.add(key);
            } else if (key.phase == PendingKey.Phase.CLAIMING) {
                earliestTimeoutMicros = Math.min(earliestTimeoutMicros, key.timeoutAtMicros);
            }
        }
        return overdue;
    }

    /** Removes the keys without an attempt that were claimed before a time. */
    void removeClaimedBefore(long micros) {
        byDigest.values().removeIf(key -> key.attempt == null && key.claimedMicros < micros);
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
