package org.rattanrudder.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class EventLoopLagTest {
    private static final long START = 10_000;
    private final EventLoopLag lag = new EventLoopLag(START, 500);

    /**
     * Requests wait in the sockets of a relay that is starting. Some of their callers have given up, but if the
     * requests are sent on at once, engines compute responses that no caller receives.
     */
    @Test
    void loopIsLateAfterStart() {
        assertThat(lag.isLate(START + 100)).isTrue();
        run(START + 500, START + 4_000);

        assertThat(lag.isLate(START + 4_100)).isFalse();
    }

    @Test
    void loopIsLateForSomeTimeAfterPause() {
        run(START + 500, START + 4_000);

        assertThat(lag.isLate(START + 6_000)).isTrue();
        lag.onTaskRun(START + 6_000);
        run(START + 6_500, START + 8_500);
        assertThat(lag.isLate(START + 8_600)).isTrue();
        run(START + 9_000, START + 9_500);
        assertThat(lag.isLate(START + 9_600)).isFalse();
    }

    private void run(long from, long to) {
        for (long now = from; now <= to; now += 500) {
            lag.onTaskRun(now);
        }
    }
}
