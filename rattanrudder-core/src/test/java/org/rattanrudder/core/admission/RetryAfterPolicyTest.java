package org.rattanrudder.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RetryAfterPolicyTest {
    private static final int CALLERS = 2_000;

    /**
     * An outage ends, a thousand callers that were refused together come back together, and all are refused again: the
     * target swings between idle and overloaded.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, 300_000, 5_000_000, 10_000_000_000L})
    void callersRefusedTogetherComeBackSpreadOut(long waitMicros) {
        RetryAfterPolicy times = new RetryAfterPolicy(new Random(3));
        long[] back = new long[CALLERS];
        Arrays.setAll(back, caller -> times.retryAfterMillis(waitMicros));
        Arrays.sort(back);

        long span = Math.max(1_000, Math.min(waitMicros / 1_000, 30_000));
        assertThat(back[0]).isGreaterThan(Math.min(waitMicros / 1_000, 30_000));
        assertThat(back[CALLERS - 1]).isLessThanOrEqualTo(60_000);
        // No tenth of the span sees more than twice its part of the callers.
        for (int first = 0; first + CALLERS / 5 < CALLERS; first++) {
            assertThat(back[first + CALLERS / 5] - back[first]).isGreaterThanOrEqualTo(span / 10);
        }
    }
}
