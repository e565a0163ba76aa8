package org.rattanrudder.core.claims;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;

/**
 * Tracks up to which offset a service's claims are older than 1.25 times its key retention, using only this process's
 * clock.
 *
 * <p>It records the read time of 32 offsets in each retention period. A claim was appended before it was read, so one
 * that was read a retention ago is at least that old.
 */
final class KeyRetention {
    private static final int CHECKPOINTS_PER_RETENTION = 32;
    private static final int GRACE_DIVISOR = 4;

    private final long retentionMicros;
    private final Deque<Checkpoint> checkpoints = new ArrayDeque<>();
    private long lastOffset;
    private long expiredOffset;

    KeyRetention(long retentionMicros) {
        this.retentionMicros = retentionMicros;
    }

    private record Checkpoint(long offset, long readMicros) {}

    long retentionMicros() {
        return retentionMicros;
    }

    /** Returns the maximum age at which a claim may still start its call. */
    long graceMicros() {
        return retentionMicros / GRACE_DIVISOR;
    }

    /** Returns the time between two checkpoints, which is also the interval between expiry entries in the log. */
    long checkpointIntervalMicros() {
        return Math.max(1, retentionMicros / CHECKPOINTS_PER_RETENTION);
    }

    void onRead(long offset) {
        lastOffset = offset;
    }

    /** Advances to the given time; call {@link #onRead} for the reads of the same event first. */
    void advance(long nowMicros) {
        boolean due =
                checkpoints.isEmpty() || nowMicros - checkpoints.peekLast().readMicros() >= checkpointIntervalMicros();
        long lastCheckpointOffset =
                checkpoints.isEmpty() ? expiredOffset : checkpoints.peekLast().offset();
        if (due && lastOffset > lastCheckpointOffset) {
            checkpoints.addLast(new Checkpoint(lastOffset, nowMicros));
        }
        long age = retentionMicros + graceMicros();
        while (!checkpoints.isEmpty() && nowMicros - checkpoints.peekFirst().readMicros() >= age) {
            expiredOffset = checkpoints.pollFirst().offset();
        }
    }

    /** Returns the offset up to which claims have expired, if it is above the one recorded in the log. */
    OptionalLong expiredAbove(long recordedOffset) {
        return expiredOffset > recordedOffset ? OptionalLong.of(expiredOffset) : OptionalLong.empty();
    }
}
