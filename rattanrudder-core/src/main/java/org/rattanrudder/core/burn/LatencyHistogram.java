package org.rattanrudder.core.burn;

import java.util.Collection;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A latency histogram with fixed buckets, which are the same in every process, so that histograms can be added.
 *
 * <p>The bucket sizes grow with the values: there are sixteen buckets for each doubling, so a bucket's upper bound
 * is at most a sixteenth above any value in it. Values below 16 microseconds have a bucket each; the last bucket
 * also counts all values above 2^40.
 *
 * @param counts the number of values in each bucket, by bucket index; empty buckets are left out
 */
public record LatencyHistogram(SortedMap<Integer, Long> counts) {
    /** The empty histogram. */
    public static final LatencyHistogram EMPTY = new LatencyHistogram(new TreeMap<>());

    private static final int BUCKETS_PER_DOUBLING_BITS = 4;
    private static final int BUCKETS_PER_DOUBLING = 1 << BUCKETS_PER_DOUBLING_BITS;
    private static final int MAX_DOUBLING = 40;

    /** The number of buckets. */
    static final int BUCKETS = (MAX_DOUBLING - BUCKETS_PER_DOUBLING_BITS + 1) * BUCKETS_PER_DOUBLING;

    /** Copies the map. */
    public LatencyHistogram {
        counts = Collections.unmodifiableSortedMap(new TreeMap<>(counts));
    }

    /** Returns the bucket index of a value in microseconds. */
    public static int bucketOf(long micros) {
        if (micros < BUCKETS_PER_DOUBLING) {
            return (int) Math.max(0, micros);
        }
        int doubling = Long.SIZE - 1 - Long.numberOfLeadingZeros(micros);
        int step = (int) (micros >>> (doubling - BUCKETS_PER_DOUBLING_BITS)) - BUCKETS_PER_DOUBLING;
        return Math.min(BUCKETS - 1, (doubling - BUCKETS_PER_DOUBLING_BITS + 1) * BUCKETS_PER_DOUBLING + step);
    }

    /** Returns the largest value in microseconds that falls into the bucket. */
    public static long upperBoundMicros(int bucket) {
        if (bucket < BUCKETS_PER_DOUBLING) {
            return bucket;
        }
        int shift = bucket / BUCKETS_PER_DOUBLING - 1;
        long first = (long) (BUCKETS_PER_DOUBLING + bucket % BUCKETS_PER_DOUBLING) << shift;
        return first + (1L << shift) - 1;
    }

    /** Returns the sum of the given histograms. */
    public static LatencyHistogram sum(Collection<LatencyHistogram> histograms) {
        SortedMap<Integer, Long> total = new TreeMap<>();
        histograms.forEach(each -> each.counts.forEach((bucket, count) -> total.merge(bucket, count, Long::sum)));
        return new LatencyHistogram(total);
    }

    /** Returns the number of values. */
    public long count() {
        return counts.values().stream().mapToLong(Long::longValue).sum();
    }

    /**
     * Returns an upper bound of the quantile in microseconds, at most a sixteenth above it; 0 if the histogram is
     * empty.
     *
     * @param quantile from 0 to 1, such as 0.95
     */
    public long quantileMicros(double quantile) {
        long rank = (long) Math.ceil(quantile * count());
        long seen = 0;
        long upperBound = 0;
        for (var entry : counts.entrySet()) {
            upperBound = upperBoundMicros(entry.getKey());
            seen += entry.getValue();
            if (seen >= rank) {
                break;
            }
        }
        return upperBound;
    }
}
