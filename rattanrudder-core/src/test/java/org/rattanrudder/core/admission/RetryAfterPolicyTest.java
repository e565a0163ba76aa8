package org.rattanrudder.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RetryAfterPolicyTest {
    private static final int CALLERS = 2_000;

    /**
     * Callers that were refused together during an outage would retry together and be refused again, so that the
     * target alternates between idle and overloaded.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, 300_000, 5_000_000, 10_000_000_000L})
    void retriesOfCallersRefusedTogetherAreSpreadOut(long waitMicros) {
        RetryAfterPolicy policy = new RetryAfterPolicy(new Random(3));
        long[] retryAfter = new long[CALLERS];
        Arrays.setAll(retryAfter, caller -> policy.retryAfterMillis(waitMicros));
        Arrays.sort(retryAfter);

        long span = Math.max(1_000, Math.min(waitMicros / 1_000, 30_000));
        assertThat(retryAfter[0]).isGreaterThan(Math.min(waitMicros / 1_000, 30_000));
        assertThat(retryAfter[CALLERS - 1]).isLessThanOrEqualTo(60_000);
        // No tenth of the span gets more than twice its share of the callers.
        for (int first = 0; first + CALLERS / 5 < CALLERS; first++) {
            assertThat(retryAfter[first + CALLERS / 5] - retryAfter[first]).isGreaterThanOrEqualTo(span / 10);
        }
    }
}
