package org.rattanrudder.core.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RetryAfterSchedulerTest {
    private static final int PER_SECOND = 50;
    private static final long SECOND = 1_000_000;
    private final RetryAfterScheduler scheduler = new RetryAfterScheduler(new SplittableRandom(9));

    @Test
    void noRetryIsScheduledBeforeItCanSucceed() {
        for (int refused = 0; refused < 100; refused++) {
            assertThat(scheduler.retryAfterMillis(700, refused)).isBetween(700L, 30_000L);
        }
    }

    /**
     * A service fails again in the second in which an outage of half a minute ends: all refused callers retry at once,
     * in addition to the new requests.
     */
    @Test
    void retriesAfterAnOutageArriveAboutAsFastAsTheServiceAnswers() {
        for (int answered = 0; answered < 20 * PER_SECOND; answered++) {
            scheduler.onAnswered(answered * SECOND / PER_SECOND);
        }
        long begin = 20 * SECOND;
        long end = 50 * SECOND;
        PriorityQueue<Long> callers = new PriorityQueue<>();
        for (long arrival = begin; arrival < end; arrival += SECOND / PER_SECOND) {
            callers.add(arrival);
        }
        int[] arrivals = new int[120];
        while (!callers.isEmpty()) {
            long now = callers.poll();
            if (now < end) {
                callers.add(now + scheduler.retryAfterMillis(0, now) * 1_000);
            } else {
                arrivals[(int) (now / SECOND)]++;
            }
        }
        assertThat(Arrays.stream(arrivals).max().getAsInt()).isLessThanOrEqualTo(2 * PER_SECOND);
    }
}
