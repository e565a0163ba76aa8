package org.rattanrudder.daemon.relay.store;

import java.util.function.IntToLongFunction;
import java.util.function.LongSupplier;
import org.rattanrudder.core.topics.ReadTiming;
import org.rattanrudder.core.topics.RepeatPolicy;

/**
 * How a relay polls a topic of the platform's store.
 *
 * @param intervalMillis the time from a poll to the next one, in ms, by the number of peers
 * @param maxCalls how many times a poll is made at most while its answer is late, the first included
 * @param maxBackOffMillis limit of the time until a call that has failed is retried, in ms
 */
public record PollIntervals(IntToLongFunction intervalMillis, int maxCalls, long maxBackOffMillis) {
    /** With more peers than this, records written in quick succession are read in one answer. */
    private static final int FEW_PEERS = 8;

    private static final long MIN_PROMPT_MILLIS = 1_000;
    private static final long PROMPT_MILLIS_PER_PEER = 100;
    private static final long MAX_PROMPT_MILLIS = 1_500;
    private static final long MAX_BATCHED_MILLIS = 2_400;
    private static final long RARE_MILLIS = 12_000;
    private static final long MAX_PROMPT_BACK_OFF_MILLIS = 800;
    private static final long MAX_RARE_BACK_OFF_MILLIS = 3_200;

    /** Minimum time between an answer and the next poll, with many peers of which one has read a newer record. */
    private static final long HINTED_GAP_MILLIS = 500;

    private static final long MIN_PENDING_MILLIS = 300;
    private static final long PENDING_MILLIS_PER_PEER = 20;
    private static final long MAX_PENDING_MILLIS = 1_000;

    /** About how many polls are made while the time without progress doubles. */
    private static final long POLLS_PER_DOUBLING = 4;

    /** For records that are written rarely and may be received late, unless something tells of them. */
    public static final PollIntervals RARE = new PollIntervals(peers -> RARE_MILLIS, 1, MAX_RARE_BACK_OFF_MILLIS);

    /**
     * For records that must be in force within a bound.
     *
     * @param boundMillis the bound in ms, as it is now
     */
    public static PollIntervals prompt(LongSupplier boundMillis) {
        return within(boundMillis, MAX_PROMPT_MILLIS);
    }

    /**
     * For records that are written often and must be in force within a bound: several are read in one answer. With many
     * relays each polls less often, since peers report the offset of a change that they have read.
     *
     * @param boundMillis the bound in ms, as it is now
     */
    public static PollIntervals batched(LongSupplier boundMillis) {
        return within(boundMillis, MAX_BATCHED_MILLIS);
    }

    /** A relay with few peers polls more often: it can't rely on what others have read. */
    private static PollIntervals within(LongSupplier boundMillis, long maxMillis) {
        return new PollIntervals(
                peers -> ReadTiming.intervalMillis(
                        boundMillis.getAsLong(),
                        Math.min(maxMillis, MIN_PROMPT_MILLIS + PROMPT_MILLIS_PER_PEER * peers)),
                RepeatPolicy.MAX_CALLS,
                MAX_PROMPT_BACK_OFF_MILLIS);
    }

    /**
     * Returns the minimum time between an answer and the next call, in ms, if a peer has read a newer record. Without
     * it, every relay would make a separate call for each change.
     */
    static long hintedGapMillis(int peers) {
        return peers <= FEW_PEERS ? 0 : HINTED_GAP_MILLIS;
    }

    /**
     * Returns the time from a poll to the next one, in ms, while something waits for what a rare topic says. The longer
     * it has waited without progress, the less it gains by a poll.
     */
    public static long pendingMillis(int peers, long sinceProgressMillis) {
        long first = Math.min(MAX_PENDING_MILLIS, Math.max(MIN_PENDING_MILLIS, PENDING_MILLIS_PER_PEER * peers));
        return Math.min(RARE_MILLIS, Math.max(first, sinceProgressMillis / POLLS_PER_DOUBLING));
    }
}
