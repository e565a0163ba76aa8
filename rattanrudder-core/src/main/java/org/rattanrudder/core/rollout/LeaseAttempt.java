package org.rattanrudder.core.rollout;

import java.util.OptionalLong;
import java.util.function.DoubleSupplier;

/**
 * Decides when a process that doesn't hold the lease may try to acquire it.
 *
 * <p>All processes learn of a rollout at about the same time. Each waits for a random delay and reads the log again
 * before it appends, so that most of them read the record of the one that was first. All times are in ms.
 */
public final class LeaseAttempt {
    /** With many peers, so that mostly one of them reads and appends at a time. */
    private static final long SPREAD_MILLIS_PER_PEER = 20;

    private static final long MAX_SPREAD_MILLIS = 400;

    /** How long a process may append after a read; later, another may have appended since. */
    private static final long READ_VALID_MILLIS = 1_000;

    private static final long NONE = Long.MAX_VALUE;

    private final DoubleSupplier random;
    private long dueAt = NONE;
    private long readAt = NONE;

    /**
     * Creates the state of a process that makes no attempt.
     *
     * @param random returns random numbers from 0 to 1
     */
    public LeaseAttempt(DoubleSupplier random) {
        this.random = random;
    }

    /** Begins an attempt, and returns the time until the log is to be read; empty if one is being made. */
    public OptionalLong begin(long now, int peers) {
        boolean outdated = readAt != NONE && now - readAt > READ_VALID_MILLIS;
        if (dueAt != NONE && !outdated) {
            return OptionalLong.empty();
        }
        long spread = Math.min(MAX_SPREAD_MILLIS, SPREAD_MILLIS_PER_PEER * peers);
        long delay = Math.round(random.getAsDouble() * spread);
        dueAt = now + delay;
        readAt = NONE;
        return OptionalLong.of(delay);
    }

    /**
     * Handles a read of the log to its end.
     *
     * @param askedAt when the read was asked for
     */
    public void onReadToEnd(long askedAt, long now) {
        if (askedAt >= dueAt) {
            readAt = now;
        }
    }

    /** Returns whether the log is to be read now. */
    public boolean needsRead(long now) {
        return now >= dueAt && readAt == NONE;
    }

    /** Returns whether the log was read since the delay was over. */
    public boolean isRead() {
        return readAt != NONE;
    }

    /** Ends the attempt: the process has appended, or another has. */
    public void end() {
        dueAt = NONE;
        readAt = NONE;
    }
}
