package org.rattanrudder.core.orders;

import org.rattanrudder.core.log.LogEntry;

/**
 * A lease or claim of this process that is backed by a record in the log. Its term counts from the time before the
 * record was sent. All times are the longest that may have passed, in microseconds: the term forbids to go on.
 *
 * <p>At most one record is pending at a time. Otherwise a record that is read back could be mistaken for a later one,
 * whose term ends later.
 */
final class LogBackedLease {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final long termMicros;
    private LogEntry pending;
    private boolean isRenewal;
    private long lastSentMicros = NEVER;
    private long expiryMicros = NEVER;
    private long offset;

    LogBackedLease(long termMicros) {
        this.termMicros = termMicros;
    }

    void onSent(LogEntry entry, long atMostMicros) {
        pending = entry;
        isRenewal = isHeld(atMostMicros);
        lastSentMicros = atMostMicros;
    }

    boolean isPending() {
        return pending != null;
    }

    /** Handles a record that was read back from the log; ignored unless it is the pending one. */
    void onReadBack(LogEntry entry, long readOffset, long atMostMicros) {
        if (!entry.equals(pending)) {
            return;
        }
        pending = null;
        offset = readOffset;
        // A renewal that is read back after the term has ended must not count: other companions may have treated the
        // lease as expired before they read the renewal, and may have taken it over. The holder's own term is the
        // shorter one, so it can't know whether they did, and has to acquire the lease again.
        expiryMicros = isRenewal && !isHeld(atMostMicros) ? NEVER : lastSentMicros + termMicros;
    }

    /** Gives up the lease; reading back a pending record doesn't restore it. */
    void drop() {
        expiryMicros = NEVER;
        lastSentMicros = NEVER;
    }

    boolean isHeld(long atMostMicros) {
        return atMostMicros < expiryMicros;
    }

    boolean needsRenewal(long atMostMicros) {
        return !isPending() && atMostMicros >= expiryMicros - termMicros / 2;
    }

    /** Returns the log offset of the last record, which is the fencing number of an order lease. */
    long offset() {
        return offset;
    }
}
