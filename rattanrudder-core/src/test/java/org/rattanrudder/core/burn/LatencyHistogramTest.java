package org.rattanrudder.core.burn;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;

class LatencyHistogramTest {
    private static final long MAX_MICROS = (1L << 40) - 1;

    @Property(seed = "31")
    void theUpperBoundOfABucketIsAtMostASixteenthAboveItsValues(@ForAll @LongRange(max = MAX_MICROS) long micros) {
        int bucket = LatencyHistogram.bucketOf(micros);

        assertThat(bucket).isBetween(0, LatencyHistogram.BUCKETS - 1);
        assertThat(LatencyHistogram.upperBoundMicros(bucket)).isBetween(micros, micros + micros / 16);
        assertThat(LatencyHistogram.bucketOf(LatencyHistogram.upperBoundMicros(bucket)))
                .isEqualTo(bucket);
        assertThat(LatencyHistogram.bucketOf(LatencyHistogram.upperBoundMicros(bucket) + 1))
                .isBetween(bucket, bucket + 1);
    }

    @Property(seed = "32", tries = 200)
    void aQuantileIsExactWithinASixteenth(
            @ForAll @Size(min = 1, max = 60) List<@LongRange(max = 5_000_000) Long> values,
            @ForAll @IntRange(min = 1, max = 100) int percent) {
        List<Long> sorted = values.stream().sorted().toList();
        long exact = sorted.get(Math.max(0, (int) Math.ceil(percent / 100.0 * sorted.size()) - 1));

        assertThat(histogram(values).quantileMicros(percent / 100.0)).isBetween(exact, exact + exact / 16);
    }

    @Property(seed = "33", tries = 200)
    void aSumEqualsTheHistogramOfAllValues(
            @ForAll List<@LongRange(max = MAX_MICROS) Long> left,
            @ForAll List<@LongRange(max = MAX_MICROS) Long> right) {
        List<Long> all = new ArrayList<>(left);
        all.addAll(right);

        assertThat(LatencyHistogram.sum(List.of(histogram(left), histogram(right))))
                .isEqualTo(histogram(all));
    }

    private static LatencyHistogram histogram(List<Long> values) {
        TreeMap<Integer, Long> counts = new TreeMap<>();
        for (long value : values) {
            counts.merge(LatencyHistogram.bucketOf(value), 1L, Long::sum);
        }
        return new LatencyHistogram(counts);
    }
}
