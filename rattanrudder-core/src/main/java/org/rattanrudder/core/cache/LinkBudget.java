package org.rattanrudder.core.cache;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Keeps the bytes on one link under its budget over every window of one second.
 *
 * <p>When the bytes of a move pass is known only to lie between its start and its end. So a move counts in full from
 * its start until one second after its end, and a move starts only if all that count, itself included, are within the
 * budget. Take any window of one second and the move in it that started last: every other move in the window ended at
 * most one second before that start, so it was counted then.
 *
 * <p>A raise takes effect only after {@link #RAISE_DELAY_MICROS}. This guards against a link over its budget while a
 * new
 * document spreads: a companion that took its new, larger share at once would add to the old shares of others that have
 * not read the document yet. Lower budgets hold at once.
 *
 * <pre>{@code
 * LinkBudget budget = new LinkBudget(100_000_000, now);
 * if (budget.take(bytes, now)) { // start the move
 *     budget.release(bytes, bytes, later); // when it has ended
 * }
 * }</pre>
 */
public final class LinkBudget {
    /** The window over which the budget holds, in microseconds. */
    public static final long WINDOW_MICROS = 1_000_000;
    /** How long a raise waits: a document is in force everywhere within 4 s. */
    public static final long RAISE_DELAY_MICROS = 5_000_000;
    /** Background moves leave this share of the budget to a fetch that may come. */
    private static final double BACKGROUND_SHARE = 0.5;

    private final Deque<Ended> ended = new ArrayDeque<>();
    private long limit;
    private long raisedLimit;
    private long raiseMicros;
    private long counted;
    private long planned;

    /**
     * Makes a budget that is 0 until {@link #RAISE_DELAY_MICROS} have passed.
     *
     * @param bytesPerSecond the budget
     * @param nowMicros the time
     */
    public LinkBudget(long bytesPerSecond, long nowMicros) {
        change(bytesPerSecond, nowMicros);
    }

    /** Changes the budget: at once where it falls, after {@link #RAISE_DELAY_MICROS} where it rises. */
    public void change(long bytesPerSecond, long nowMicros) {
        settle(nowMicros);
        if (bytesPerSecond == raisedLimit) {
            return;
        }
        limit = Math.min(limit, bytesPerSecond);
        raisedLimit = bytesPerSecond;
        raiseMicros = nowMicros + RAISE_DELAY_MICROS;
    }

    /** Takes bytes for a fetch that a prompt waits for; returns whether it may start now. */
    public boolean take(long bytes, long nowMicros) {
        if (bytes > free(nowMicros)) {
            return false;
        }
        counted += bytes;
        return true;
    }

    /**
     * Returns whether a background move of this size may start now: no fetch waits for the link, and part of the budget
     * stays free for one that comes. A single move on an idle link always may.
     */
    public boolean allowsBackground(long bytes, long nowMicros) {
        long free = free(nowMicros);
        if (planned > 0 || bytes > free) {
            return false;
        }
        return counted == 0 || counted + bytes <= limit * BACKGROUND_SHARE;
    }

    /**
     * Ends a move.
     *
     * @param taken the bytes that it took when it started
     * @param moved the bytes that passed over the link
     * @param nowMicros the time
     */
    public void release(long taken, long moved, long nowMicros) {
        settle(nowMicros);
        counted += moved - taken;
        ended.addLast(new Ended(nowMicros, moved));
    }

    /** Notes bytes of fetches that are decided but not started; negative when they start or are given up. */
    public void plan(long bytes) {
        planned += bytes;
    }

    /** Returns how many bytes may start now. */
    public long free(long nowMicros) {
        settle(nowMicros);
        return Math.max(0, limit - counted);
    }

    /** Returns the budget in force, in bytes a second. */
    public long limit(long nowMicros) {
        settle(nowMicros);
        return limit;
    }

    /**
     * Returns how long a fetch of this many bytes waits for the budget, in microseconds, behind those that are planned;
     * {@link Long#MAX_VALUE} if it never fits.
     *
     * @param bytes all bytes of the fetch
     * @param largest its largest move
     * @param nowMicros the time
     */
    public long waitMicros(long bytes, long largest, long nowMicros) {
        long free = free(nowMicros);
        if (largest > limit) {
            return Long.MAX_VALUE;
        }
        long beyond = bytes + planned - free;
        if (beyond <= 0) {
            return 0;
        }
        long rounds = (beyond + limit - 1) / limit;
        return rounds * WINDOW_MICROS;
    }

    private void settle(long nowMicros) {
        if (limit < raisedLimit && nowMicros >= raiseMicros) {
            limit = raisedLimit;
        }
        while (!ended.isEmpty() && nowMicros - ended.getFirst().micros() > WINDOW_MICROS) {
            counted -= ended.removeFirst().bytes();
        }
    }

    private record Ended(long micros, long bytes) {}
}
