package org.rattanrudder.core.burn;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A ring buffer of latencies and customers' counts, which are too large to keep by the minute, in six slots of an
 * hour.
 */
final class HourRing {
    static final long HOUR_MILLIS = 3_600_000;
    static final int HOURS = 6;

    private final Hour[] hours = new Hour[HOURS];
    private final Map<String, CustomerHours> customers = new HashMap<>();
    private long lastCleanupHour = Long.MIN_VALUE;

    void addLatency(long micros, long nowMillis) {
        hour(nowMillis).latencies[LatencyHistogram.bucketOf(micros)]++;
    }

    void addCustomer(String customer, boolean isGood, long nowMillis) {
        long hour = hourNumber(nowMillis);
        if (hour != lastCleanupHour) {
            // Customers are removed from documents. Without this, their counts would be kept for the lifetime of the
            // process.
            customers.values().removeIf(counts -> counts.isExpired(hour));
            lastCleanupHour = hour;
        }
        customers.computeIfAbsent(customer, name -> new CustomerHours(hour)).add(isGood, hour);
    }

    LatencyHistogram latencies(long nowMillis) {
        SortedMap<Integer, Long> counts = new TreeMap<>();
        for (Hour hour : coveredHours(nowMillis)) {
            for (int bucket = 0; bucket < LatencyHistogram.BUCKETS; bucket++) {
                if (hour.latencies[bucket] > 0) {
                    counts.merge(bucket, (long) hour.latencies[bucket], Long::sum);
                }
            }
        }
        return new LatencyHistogram(counts);
    }

    /** Returns the counts of each customer, ordered by name. */
    List<BurnSnapshot.CustomerCounts> customers(long nowMillis) {
        long hour = hourNumber(nowMillis);
        List<BurnSnapshot.CustomerCounts> counts = new ArrayList<>();
        new TreeMap<>(customers).forEach((name, each) -> {
            if (!each.isExpired(hour)) {
                counts.add(each.counts(name, hour));
            }
        });
        return counts;
    }

    private static long hourNumber(long nowMillis) {
        return Math.floorDiv(nowMillis, HOUR_MILLIS);
    }

    private Hour hour(long nowMillis) {
        long number = hourNumber(nowMillis);
        int slot = (int) Math.floorMod(number, (long) HOURS);
        if (hours[slot] == null || hours[slot].number != number) {
            hours[slot] = new Hour(number);
        }
        return hours[slot];
    }

    private List<Hour> coveredHours(long nowMillis) {
        long oldest = hourNumber(nowMillis) - HOURS + 1;
        return Arrays.stream(hours)
                .filter(hour -> hour != null && hour.number >= oldest)
                .toList();
    }

    /** The latencies of one hour. */
    private static final class Hour {
        private final long number;
        private final int[] latencies = new int[LatencyHistogram.BUCKETS];

        Hour(long number) {
            this.number = number;
        }
    }

    /**
     * Good and bad requests of one customer in each hour, in a single array since there may be thousands of customers.
     */
    private static final class CustomerHours {
        private final int[] counts = new int[2 * HOURS];
        private long newestHour;

        CustomerHours(long hour) {
            newestHour = hour;
        }

        void add(boolean isGood, long hour) {
            advance(hour);
            counts[offset(hour) + (isGood ? 0 : 1)]++;
        }

        boolean isExpired(long hour) {
            return hour - newestHour >= HOURS;
        }

        BurnSnapshot.CustomerCounts counts(String name, long hour) {
            advance(hour);
            long good = 0;
            long bad = 0;
            for (int offset = 0; offset < counts.length; offset += 2) {
                good += counts[offset];
                bad += counts[offset + 1];
            }
            return new BurnSnapshot.CustomerCounts(name, good, bad);
        }

        /** Clears the counts of expired hours, whose positions are reused for the hours up to the given one. */
        private void advance(long hour) {
            for (long next = Math.max(newestHour, hour - HOURS) + 1; next <= hour; next++) {
                counts[offset(next)] = 0;
                counts[offset(next) + 1] = 0;
            }
            newestHour = Math.max(newestHour, hour);
        }

        private static int offset(long hour) {
            return 2 * (int) Math.floorMod(hour, (long) HOURS);
        }
    }
}
