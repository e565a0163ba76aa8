package org.rattanrudder.core.burn;

import java.util.Collection;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Counts of latencies in fixed buckets, the same in every process, so that histograms can be added.
 *
 * <p>The buckets grow with the values: sixteen to each doubling, so that a bucket's upper bound is at most a sixteenth
 * above any value in it. Values below 16 microseconds have a bucket each; the last bucket takes what is above 2^40.
 *
 * @param counts how many values fell into each bucket, by bucket number; no zeros
 */
public record LatencyHistogram(SortedMap<Integer, Long> counts) {
    /** The histogram of no value. */
    public static final LatencyHistogram EMPTY = new LatencyHistogram(new TreeMap<>());

    private static final int STEPS_BITS = 4;
    private static final int STEPS = 1 << STEPS_BITS;
    private static final int HIGHEST_DOUBLING = 40;

    /** The number of buckets. */
    static final int BUCKETS = (HIGHEST_DOUBLING - STEPS_BITS + 1) * STEPS;

    /** Copies the map. */
    public LatencyHistogram {
        counts = Collections.unmodifiableSortedMap(new TreeMap<>(counts));
    }

    /** Returns the bucket of a value in microseconds. */
    public static int bucketOf(long micros) {
        if (micros < STEPS) {
            return (int) Math.max(0, micros);
        }
        int doubling = Long.SIZE - 1 - Long.numberOfLeadingZeros(micros);
        int step = (int) (micros >>> (doubling - STEPS_BITS)) - STEPS;
        return Math.min(BUCKETS - 1, (doubling - STEPS_BITS + 1) * STEPS + step);
    }

    /** Returns the largest value in microseconds that falls into the bucket. */
    public static long upperBoundMicros(int bucket) {
        if (bucket < STEPS) {
            return bucket;
        }
        int shift = bucket / STEPS - 1;
        long first = (long) (STEPS + bucket % STEPS) << shift;
        return first + (1L << shift) - 1;
    }

    /** Returns a histogram of all the values of the given ones. */
    public static LatencyHistogram sum(Collection<LatencyHistogram> histograms) {
        SortedMap<Integer, Long> total = new TreeMap<>();
        histograms.forEach(each -> each.counts.forEach((bucket, count) -> total.merge(bucket, count, Long::sum)));
        return new LatencyHistogram(total);
    }

    /** Returns how many values it holds. */
    public long count() {
        return counts.values().stream().mapToLong(Long::longValue).sum();
    }

    /**
     * Returns an upper bound of the quantile in microseconds, at most a sixteenth above it; 0 for no values.
     *
     * @param quantile from 0 to 1, such as 0.95
     */
    public long quantileMicros(double quantile) {
        long rank = (long) Math.ceil(quantile * count());
        long seen = 0;
        long highest = 0;
        for (var entry : counts.entrySet()) {
            highest = upperBoundMicros(entry.getKey());
            seen += entry.getValue();
            if (seen >= rank) {
                break;
            }
        }
        return highest;
    }
}
