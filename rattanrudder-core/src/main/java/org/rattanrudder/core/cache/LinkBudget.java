package org.rattanrudder.core.cache;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the bytes that are moved over one link in any window of one second.
 *
 * <p>It is unknown when exactly the bytes of a move pass between its start and its end. So a move counts in full
 * from its start until one second after its end, and a move may start only if all counted moves, itself included,
 * fit the budget. This suffices: in any window of one second, take the move that started last. Every other move in
 * the window ended at most one second before that start, so it was counted then.
 *
 * <p>A raise takes effect only after {@link #RAISE_DELAY_MICROS}. Otherwise the link would exceed its budget while a
 * new document propagates: the larger share of a companion that has read it would add to the old shares of others
 * that have not. A reduction takes effect at once.
 *
 * <pre>{@code
 * LinkBudget budget = new LinkBudget(100_000_000, now);
 * if (budget.tryAcquire(bytes, now)) { // start the move
 *     budget.release(bytes, bytes, later); // when it has ended
 * }
 * }</pre>
 */
public final class LinkBudget {
    /** The length of the window to which the budget applies, in microseconds. */
    public static final long WINDOW_MICROS = 1_000_000;
    /** How long a raise is delayed: a document is in force everywhere within 4 s. */
    public static final long RAISE_DELAY_MICROS = 5_000_000;
    /** Background moves may take this share of the budget; the rest is left to fetches. */
    private static final double BACKGROUND_SHARE = 0.5;

    private final Deque<Ended> ended = new ArrayDeque<>();
    private long limit;
    private long raisedLimit;
    private long raiseMicros;
    private long countedBytes;
    private long pendingBytes;

    /**
     * Creates a budget that is 0 until {@link #RAISE_DELAY_MICROS} have passed.
     *
     * @param bytesPerSecond the budget
     * @param nowMicros the time
     */
    public LinkBudget(long bytesPerSecond, long nowMicros) {
        updateLimit(bytesPerSecond, nowMicros);
    }

    /** Updates the budget: at once if it is lower, after {@link #RAISE_DELAY_MICROS} if it is higher. */
    public void updateLimit(long bytesPerSecond, long nowMicros) {
        advance(nowMicros);
        if (bytesPerSecond == raisedLimit) {
            return;
        }
        limit = Math.min(limit, bytesPerSecond);
        raisedLimit = bytesPerSecond;
        raiseMicros = nowMicros + RAISE_DELAY_MICROS;
    }

    /** Acquires bytes for a fetch that a prompt waits for; returns whether it may start now. */
    public boolean tryAcquire(long bytes, long nowMicros) {
        if (bytes > freeBytes(nowMicros)) {
            return false;
        }
        countedBytes += bytes;
        return true;
    }

    /**
     * Returns whether a background move of this size may start now: no fetch is pending on the link, and part of the
     * budget stays free for new ones. A single move on an idle link is always allowed.
     */
    public boolean allowsBackground(long bytes, long nowMicros) {
        long free = freeBytes(nowMicros);
        if (pendingBytes > 0 || bytes > free) {
            return false;
        }
        return countedBytes == 0 || countedBytes + bytes <= limit * BACKGROUND_SHARE;
    }

    /**
     * Releases the bytes of a move that has ended.
     *
     * @param taken the bytes that it acquired when it started
     * @param moved the bytes that were transferred over the link
     * @param nowMicros the time
     */
    public void release(long taken, long moved, long nowMicros) {
        advance(nowMicros);
        countedBytes += moved - taken;
        ended.addLast(new Ended(nowMicros, moved));
    }

    /** Adds the bytes of fetches that are planned but not started; negative when they start or are cancelled. */
    public void addPending(long bytes) {
        pendingBytes += bytes;
    }

    /** Returns how many bytes may be acquired now. */
    public long freeBytes(long nowMicros) {
        advance(nowMicros);
        return Math.max(0, limit - countedBytes);
    }

    /** Returns the budget in force, in bytes per second. */
    public long limit(long nowMicros) {
        advance(nowMicros);
        return limit;
    }

    /**
     * Returns how long a fetch of this many bytes waits for the budget behind the pending ones, in microseconds;
     * {@link Long#MAX_VALUE} if it never fits.
     *
     * @param bytes all bytes of the fetch
     * @param largest the bytes of its largest move
     * @param nowMicros the time
     */
    public long waitMicros(long bytes, long largest, long nowMicros) {
        long free = freeBytes(nowMicros);
        if (largest > limit) {
            return Long.MAX_VALUE;
        }
        long beyond = bytes + pendingBytes - free;
        if (beyond <= 0) {
            return 0;
        }
        long rounds = (beyond + limit - 1) / limit;
        return rounds * WINDOW_MICROS;
    }

    private void advance(long nowMicros) {
        if (limit < raisedLimit && nowMicros >= raiseMicros) {
            limit = raisedLimit;
        }
        while (!ended.isEmpty() && nowMicros - ended.getFirst().micros() > WINDOW_MICROS) {
            countedBytes -= ended.removeFirst().bytes();
        }
    }

    private record Ended(long micros, long bytes) {}
}
