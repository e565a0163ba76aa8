package org.rattanrudder.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MedianEstimateTest {
    private final RandomGenerator random =
            RandomGeneratorFactory.of("L64X128MixRandom").create(17);

    private void record(MedianEstimate estimate, int samples, double median) {
        for (int sample = 0; sample < samples; sample++) {
            estimate.record(median * (0.5 + random.nextDouble()));
        }
    }

    /** Guards against calls whose durations were learned, or assumed, under other work. */
    @ParameterizedTest
    @CsvSource({"150, 20", "20, 150", "5, 5", "1000, 3"})
    void followsTheMedianFromAnyStart(double start, double median) {
        MedianEstimate estimate = new MedianEstimate(start);

        record(estimate, 300, median);

        assertThat(estimate.millis()).isCloseTo(median, within(0.2 * median));
    }

    /** Guards against a few calls that hang and would make each target look quick. */
    @ParameterizedTest
    @CsvSource({"0.1, 10000", "0.1, 0"})
    void outliersHardlyMoveIt(double share, double outlier) {
        MedianEstimate estimate = new MedianEstimate(20);
        for (int sample = 0; sample < 500; sample++) {
            estimate.record(random.nextDouble() < share ? outlier : 20 * (0.5 + random.nextDouble()));
        }

        assertThat(estimate.millis()).isBetween(15.0, 26.0);
    }
}
