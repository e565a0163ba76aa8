package org.rattanrudder.core.gateway;

import java.util.Arrays;
import java.util.OptionalLong;

/** Keeps how long the last requests of one kind took, to tell how long the next one may take. */
public final class RecentDurations {
    /** Number of requests that are remembered. */
    static final int REMEMBERED = 64;

    /** Number of requests from which on a limit is known. */
    static final int MIN_SAMPLES = 8;

    /** Factor by which the next request may exceed those that are remembered. */
    private static final double ALLOWANCE = 1.25;

    /** Of so many requests, one may take longer than usual. */
    private static final int ONE_UNUSUAL_OF = 16;

    private final long[] millis = new long[REMEMBERED];
    private long count;

    /** Records a request that took so long, in ms, from its arrival to its end. */
    public void record(long durationMillis) {
        millis[(int) (count % REMEMBERED)] = durationMillis;
        count++;
    }

    /** Returns the time within which the next request is expected to end, in ms; empty if too few were seen. */
    public OptionalLong limitMillis() {
        return limitMillis(0);
    }

    /** Returns the same, without the few requests that took longest. */
    public OptionalLong usualLimitMillis() {
        return limitMillis((int) Math.min(count, REMEMBERED) / ONE_UNUSUAL_OF);
    }

    private OptionalLong limitMillis(int unusual) {
        if (count < MIN_SAMPLES) {
            return OptionalLong.empty();
        }
        long[] sorted = millis.clone();
        Arrays.sort(sorted);
        return OptionalLong.of((long) Math.ceil(sorted[REMEMBERED - 1 - unusual] * ALLOWANCE));
    }
}
