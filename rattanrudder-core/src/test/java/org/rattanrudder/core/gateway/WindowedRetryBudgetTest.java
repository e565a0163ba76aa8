package org.rattanrudder.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RetryAllowanceTest {
    private static final long WINDOW = 10_000;
    private static final double RATIO = 0.2;
    private static final double EXTRA = 3;
    private static final int FEW = 3;

    /** A failing service gets each request five times from every relay, and never recovers. */
    @Property
    void repeatsStayWithinTheAllowanceInEachWindow(
            @ForAll @Size(max = 200) List<@IntRange(min = -1, max = 900) Integer> steps) {
        WindowedRetryBudget allowance =
                new WindowedRetryBudget(RATIO, EXTRA * WindowedRetryBudget.LEAST_GATEWAYS, WINDOW);
        List<Long> requests = new ArrayList<>();
        List<Long> repeats = new ArrayList<>();
        long now = 0;
        for (int step : steps) {
            if (step < 0) {
                requests.add(now);
                allowance.onRequest(now);
            } else {
                now += step;
                if (allowance.tryAcquire(FEW, now)) {
                    repeats.add(now);
                }
            }
        }
        for (long end : repeats) {
            long made = within(repeats, end);
            long asked = within(requests, end);
            assertThat((double) made).isLessThanOrEqualTo(RATIO * asked + EXTRA);
        }
    }

    /**
     * A service fails while hardly anybody asks for it, at many relays at once. Each took a sixteenth of the repeats on
     * top, so that thirty took nearly twice as many together as there are.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 16, 27, 31, 300})
    void allRelaysTogetherTakeNoMoreOnTopThanThereIs(int relays) {
        int extra = 94;
        int taken = 0;
        for (int relay = 0; relay < relays; relay++) {
            WindowedRetryBudget allowance = new WindowedRetryBudget(RATIO, extra, WINDOW);
            while (allowance.tryAcquire(relays, 0)) {
                taken++;
            }
        }

        assertThat(taken).isLessThanOrEqualTo(extra);
    }

    private static long within(List<Long> times, long end) {
        return times.stream().filter(time -> time > end - WINDOW && time <= end).count();
    }
}
