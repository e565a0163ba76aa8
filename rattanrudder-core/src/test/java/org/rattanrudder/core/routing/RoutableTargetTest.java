package org.rattanrudder.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RoutableTargetTest {
    private static final long SERVICE_MICROS = 100_000;
    private final RoutableTarget target = TestPools.idle(1).targets().get(0);

    @Test
    void requestsSentSinceTheReportAreCounted() {
        for (int sent = 0; sent < TestPools.SLOTS; sent++) {
            assertThat(target.waitMicros(SERVICE_MICROS, TestPools.NOW)).isZero();
            target.onDispatched(0);
        }
        assertThat(target.utilization()).isEqualTo(1);
        assertThat(target.waitMicros(SERVICE_MICROS, TestPools.NOW)).isEqualTo(SERVICE_MICROS / TestPools.SLOTS);
    }

    /** If an entry counted its own requests twice, it would avoid targets that are idle. */
    @Test
    void acceptedAttemptsAreNotCountedInAdditionToTheReport() {
        target.onDispatched(50_000);
        target.onDispatched(50_000);
        target.onAccepted(50_000);

        TestPools.report(target, true, 1, 0, TestPools.NOW);

        assertThat(target.utilization()).isEqualTo(0.2);
        assertThat(target.waitMicros(SERVICE_MICROS, TestPools.NOW)).isEqualTo(50_000);
        target.onEnded();
        target.onEnded();
        assertThat(target.utilization()).isZero();
    }

    @Test
    void aReportedWaitDecreasesWithTime() {
        TestPools.report(target, true, 0, 300_000, TestPools.NOW);

        assertThat(target.waitMicros(SERVICE_MICROS, TestPools.NOW + 100_000)).isEqualTo(200_000);
        assertThat(target.waitMicros(SERVICE_MICROS, TestPools.NOW + 400_000)).isZero();
    }
}
