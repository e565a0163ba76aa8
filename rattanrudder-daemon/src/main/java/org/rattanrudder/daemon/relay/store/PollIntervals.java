package org.rattanrudder.daemon.relay.store;

import java.util.function.IntFunction;
import java.util.function.IntToLongFunction;
import java.util.function.LongSupplier;
import org.rattanrudder.core.topics.ReadTiming;

/**
 * The intervals at which a relay polls a topic of the platform's store.
 *
 * @param gapMillis the time between an answer and the next call, by the number of peers; records that arrive in the gap
 *     are returned in one answer
 * @param waitMillis how long a call waits for records, by the number of peers; an unresponsive connection is detected
 *     after this wait
 */
public record PollIntervals(IntToLongFunction gapMillis, IntToLongFunction waitMillis) {
    private static final long MIN_GAP_MILLIS = 20;

    /** With more peers than this, records written in quick succession are read in one answer. */
    private static final int FEW_PEERS = 8;

    private static final long PROMPT_GAP_MILLIS_PER_PEER = 12;
    private static final long MAX_PROMPT_GAP_MILLIS = 400;

    private static final long MIN_PROMPT_WAIT_MILLIS = 1_000;
    private static final long MAX_PROMPT_WAIT_MILLIS = 1_500;
    private static final long PROMPT_WAIT_MILLIS_PER_PEER = 100;
    private static final long MAX_BATCHED_WAIT_MILLIS = 1_000;

    /** Minimum time between an answer and the next call, with many peers of which one has read a newer record. */
    private static final long HINTED_GAP_MILLIS = 500;

    /**
     * For records that must be in force within a bound. A long poll that begins while a record is being written may not
     * return it before its wait is over, so the wait itself ends within the bound.
     *
     * @param boundMillis the bound in ms, as it is now
     */
    public static PollIntervals prompt(LongSupplier boundMillis) {
        return within(boundMillis, PollIntervals::promptGap, PollIntervals::promptWait);
    }

    /** A relay with few peers proves more often that it has read all: it can't rely on what others have read. */
    private static long promptWait(int peers) {
        return Math.min(MAX_PROMPT_WAIT_MILLIS, MIN_PROMPT_WAIT_MILLIS + PROMPT_WAIT_MILLIS_PER_PEER * peers);
    }

    /** For records that are written rarely and may be received late. */
    public static final PollIntervals RARE = new PollIntervals(peers -> MIN_GAP_MILLIS, peers -> 12_000);

    /** For rare records that are written in bursts, one by each relay, and may be received late. */
    public static final PollIntervals RARE_BURSTS = new PollIntervals(peers -> 1_000, peers -> 12_000);

    private static final long MIN_BATCHED_GAP_MILLIS = 600;
    private static final long BATCHED_GAP_MILLIS_PER_PEER = 60;
    private static final double MAX_BATCHED_GAP_SHARE = 0.6;

    /**
     * For records that are written often and must be in force within a bound: several are read in one answer. With many
     * relays each polls less often, since peers report the offset of a change that they have read.
     *
     * @param boundMillis the bound in ms, as it is now
     */
    public static PollIntervals batched(LongSupplier boundMillis) {
        return within(
                boundMillis, peers -> batchedGap(boundMillis.getAsLong(), peers), peers -> MAX_BATCHED_WAIT_MILLIS);
    }

    private static PollIntervals within(
            LongSupplier boundMillis, IntToLongFunction wantedGap, IntToLongFunction wantedWait) {
        IntFunction<ReadTiming> timing = peers ->
                ReadTiming.within(boundMillis.getAsLong(), wantedGap.applyAsLong(peers), wantedWait.applyAsLong(peers));
        return new PollIntervals(
                peers -> timing.apply(peers).gapMillis(),
                peers -> timing.apply(peers).waitMillis());
    }

    private static long promptGap(int peers) {
        long wanted = PROMPT_GAP_MILLIS_PER_PEER * (peers - FEW_PEERS);
        return Math.max(MIN_GAP_MILLIS, Math.min(MAX_PROMPT_GAP_MILLIS, wanted));
    }

    /**
     * Returns the minimum time between an answer and the next call, in ms, if a peer has read a newer record. Without
     * it, every relay would make a separate call for each change.
     */
    static long hintedGapMillis(int peers) {
        return peers <= FEW_PEERS ? 0 : HINTED_GAP_MILLIS;
    }

    private static long batchedGap(long boundMillis, int peers) {
        long longest = (long) (boundMillis * MAX_BATCHED_GAP_SHARE);
        return Math.max(MIN_BATCHED_GAP_MILLIS, Math.min(longest, BATCHED_GAP_MILLIS_PER_PEER * peers));
    }
}
