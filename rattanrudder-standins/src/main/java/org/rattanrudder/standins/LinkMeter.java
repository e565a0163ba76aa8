package org.rattanrudder.standins;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;

/** Counts the bytes that went over a link, so that the most in any one second can be told. */
final class LinkMeter {
    private static final int BUCKETS_PER_SECOND = 100;
    private static final long BUCKET_NANOS = 1_000_000_000L / BUCKETS_PER_SECOND;
    private static final int BUCKETS = 600 * BUCKETS_PER_SECOND;

    private final long startNanos = System.nanoTime();
    private long[] buckets = new long[BUCKETS_PER_SECOND];
    private long readBytes;
    private long writtenBytes;

    /** Counts bytes that were read from the stand-in. */
    synchronized void read(int bytes) {
        readBytes += bytes;
        count(bytes);
    }

    /** Counts bytes that were written to the stand-in. */
    synchronized void written(int bytes) {
        writtenBytes += bytes;
        count(bytes);
    }

    private void count(int bytes) {
        int bucket = (int) Math.min(BUCKETS - 1, (System.nanoTime() - startNanos) / BUCKET_NANOS);
        if (bucket >= buckets.length) {
            buckets = Arrays.copyOf(buckets, Math.min(BUCKETS, Math.max(bucket + 1, buckets.length * 2)));
        }
        buckets[bucket] += bytes;
    }

    /** Returns the most bytes, both ways together, in any one second (in steps of 10 ms). */
    synchronized long mostInOneSecond() {
        long most = 0;
        long sum = 0;
        for (int bucket = 0; bucket < buckets.length; bucket++) {
            sum += buckets[bucket];
            if (bucket >= BUCKETS_PER_SECOND) {
                sum -= buckets[bucket - BUCKETS_PER_SECOND];
            }
            most = Math.max(most, sum);
        }
        return most;
    }

    /** Adds its figures to a report. */
    synchronized ObjectNode addTo(ObjectNode report) {
        return report.put("read_bytes", readBytes)
                .put("written_bytes", writtenBytes)
                .put("most_bytes_in_one_second", mostInOneSecond());
    }
}
