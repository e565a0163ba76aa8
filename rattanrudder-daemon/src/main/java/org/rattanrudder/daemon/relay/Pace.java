package org.rattanrudder.daemon.relay;

import java.util.function.IntToLongFunction;
import java.util.function.LongSupplier;

/**
 * How often a relay reads a topic of the platform's store.
 *
 * @param gapMillis the time between an answer and the next call, by the number of other relays: records that come
 *     meanwhile share one answer
 * @param waitMillis how long a call waits for records, by the same; a silent connection is noticed after it
 */
record Pace(IntToLongFunction gapMillis, IntToLongFunction waitMillis) {
    private static final long SHORT_GAP_MILLIS = 20;

    /** Beyond so many other relays, records that come in quick succession share answers. */
    private static final int FEW = 8;

    private static final long LONGER_MILLIS_PER_PEER = 12;
    private static final long LONGEST_PROMPT_GAP_MILLIS = 400;

    /** The least time between an answer and the next call where another relay has read more, among many. */
    private static final long HINTED_GAP_MILLIS = 500;

    /**
     * Records that must be known within two seconds. A read that begins to wait while a record is being written may
     * not be answered for it before its wait is over, so the wait itself ends within the bound. With many relays
     * some others notice and tell.
     */
    static final Pace PROMPT = new Pace(Pace::promptGap, peers -> Math.min(1_500, 1_000 + 100L * peers));

    /** Records that come rarely and may be known late. */
    static final Pace RARE = new Pace(peers -> SHORT_GAP_MILLIS, peers -> 12_000);

    /** The same for records that come in groups, of which each relay writes one. */
    static final Pace RARE_IN_GROUPS = new Pace(peers -> 1_000, peers -> 12_000);

    private static final long SHORTEST_GATHERING_MILLIS = 600;
    private static final long GATHERING_MILLIS_PER_PEER = 60;
    private static final double GATHERING_SHARE = 0.6;

    /**
     * Records that come often and matter within a bound: several share one read. With many relays each reads less
     * often, since whoever reads of a change tells the others; the gap alone keeps within the bound.
     */
    static Pace gathered(LongSupplier boundMillis) {
        return new Pace(peers -> gap(boundMillis.getAsLong(), peers), peers -> 1_000);
    }

    private static long promptGap(int peers) {
        long wanted = LONGER_MILLIS_PER_PEER * (peers - FEW);
        return Math.max(SHORT_GAP_MILLIS, Math.min(LONGEST_PROMPT_GAP_MILLIS, wanted));
    }

    /**
     * Returns the least time between an answer and the next call, in ms, where another relay has read more: each
     * change would else be read by every relay by itself.
     */
    static long hintedGapMillis(int peers) {
        return peers <= FEW ? 0 : HINTED_GAP_MILLIS;
    }

    private static long gap(long boundMillis, int peers) {
        long longest = (long) (boundMillis * GATHERING_SHARE);
        return Math.max(SHORTEST_GATHERING_MILLIS, Math.min(longest, GATHERING_MILLIS_PER_PEER * peers));
    }
}
