package org.rattanrudder.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.fleet.QueueForecast.Forecast;
import org.rattanrudder.core.routing.Hashing;

class ReturnTimeTest {
    private static final int CALLERS = 1_000;

    private static Forecast forecast(long waitMillis, int rank, int ranks) {
        return new Forecast(waitMillis, false, new HoldingQueue.Work(10, 1_000), 10, 1_000, 0, rank, ranks);
    }

    private static long[] times(Forecast forecast, long objective, long elapsed, long remaining, long needed) {
        return LongStream.range(0, CALLERS)
                .map(id -> ReturnTime.millis(
                        forecast, new ReturnTime.Caller(Hashing.mix(id), objective, elapsed, remaining, needed)))
                .sorted()
                .toArray();
    }

    /** A caller that is told to wait for too long ignores the time or has none left for an answer. */
    @ParameterizedTest
    @CsvSource({
        "100000, 1200, 0, 5000, 80, 112, 784",
        "100000, 1200, 1000, 5000, 80, 300, 1500",
        "600, 1200, 1000, 5000, 80, 120, 600",
        "100000, 150, 0, 600, 50, 10, 70",
        "100000, 1200, 1000, 100, 90, 2, 10",
        "100000, 1200, 1000, 50, 90, 0, 0",
        "100000, 1200, 1000, -10, 90, 0, 0"
    })
    void timesSpreadWithinTheObjectiveOrTheTurnAndLeaveTimeForTheAnswer(
            long wait, long objective, long elapsed, long remaining, long needed, long first, long last) {
        long[] times = times(forecast(wait, 0, 1), objective, elapsed, remaining, needed);

        assertThat(times[0]).isBetween(first, first + (last - first) / 20);
        assertThat(times[CALLERS - 1]).isBetween(last - (last - first) / 20, last);
        assertThat(times[CALLERS / 2]).isCloseTo((first + last) / 2, within(60L));
    }

    /** Relays don't communicate; callers rejected in one moment must not return in the reverse order of urgency. */
    @ParameterizedTest
    @CsvSource({"0, 2", "1000, 2", "0, 3", "1000, 3"})
    void moreUrgentCallersReturnBeforeLessUrgentOnes(long elapsed, int ranks) {
        for (int rank = 1; rank < ranks; rank++) {
            long[] urgent = times(forecast(2_000, rank - 1, ranks), 1_200, elapsed, 5_000, 80);
            long[] others = times(forecast(2_000, rank, ranks), 1_200, elapsed, 5_000, 80);

            assertThat(urgent[CALLERS - 1]).isLessThanOrEqualTo(others[0]);
        }
    }
}
