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

class WindowedRetryBudgetTest {
    private static final long WINDOW = 10_000;
    private static final double RATIO = 0.2;
    private static final double EXTRA = 3;
    private static final int FEW = 3;

    /** Without a limit, a failing service gets each request five times from every relay and never recovers. */
    @Property
    void retriesStayWithinBudgetInEachWindow(
            @ForAll @Size(max = 200) List<@IntRange(min = -1, max = 900) Integer> steps) {
        WindowedRetryBudget budget = new WindowedRetryBudget(RATIO, EXTRA * WindowedRetryBudget.MIN_RELAYS, WINDOW);
        List<Long> requests = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        long now = 0;
        for (int step : steps) {
            if (step < 0) {
                requests.add(now);
                budget.onRequest(now);
            } else {
                now += step;
                if (budget.tryAcquire(FEW, now)) {
                    retries.add(now);
                }
            }
        }
        for (long end : retries) {
            long made = within(retries, end);
            long asked = within(requests, end);
            assertThat((double) made).isLessThanOrEqualTo(RATIO * asked + EXTRA);
        }
    }

    /**
     * A service with few requests fails at many relays at once. When each took a sixteenth of the fixed number of
     * retries, thirty relays made nearly twice as many as allowed.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 16, 27, 31, 300})
    void allRelaysTogetherStayWithinFixedNumber(int relays) {
        int extra = 94;
        int taken = 0;
        for (int relay = 0; relay < relays; relay++) {
            WindowedRetryBudget budget = new WindowedRetryBudget(RATIO, extra, WINDOW);
            while (budget.tryAcquire(relays, 0)) {
                taken++;
            }
        }

        assertThat(taken).isLessThanOrEqualTo(extra);
    }

    private static long within(List<Long> times, long end) {
        return times.stream().filter(time -> time > end - WINDOW && time <= end).count();
    }
}
