package org.rattanrudder.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LoopLagTest {
    private static final long START = 10_000;
    private final EventLoopLag lag = new EventLoopLag(START, 500);

    /**
     * A relay starts while clerks already wait in its queue. Some of them have given up, and their checks are sent on
     * all the same; engines work for nobody.
     */
    @Test
    void aLoopIsLateAfterItsStart() {
        assertThat(lag.isLate(START + 100)).isTrue();
        run(START + 500, START + 4_000);

        assertThat(lag.isLate(START + 4_100)).isFalse();
    }

    @Test
    void aLoopThatStoodStillIsLateForAWhile() {
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
