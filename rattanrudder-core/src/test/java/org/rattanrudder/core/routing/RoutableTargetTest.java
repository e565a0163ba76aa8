package org.rattanrudder.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RoutableTargetTest {
    private static final long SERVICE_MICROS = 100_000;
    private final RoutableTarget target = Pools.idle(1).targets().get(0);

    @Test
    void whatWasSentSinceTheReportCounts() {
        for (int sent = 0; sent < Pools.SLOTS; sent++) {
            assertThat(target.waitMicros(SERVICE_MICROS, Pools.NOW)).isZero();
            target.onDispatched(0);
        }
        assertThat(target.utilisation()).isEqualTo(1);
        assertThat(target.waitMicros(SERVICE_MICROS, Pools.NOW)).isEqualTo(SERVICE_MICROS / Pools.SLOTS);
    }

    /** Counted twice, an entry's own work would drive it away from targets that are idle. */
    @Test
    void whatACompanionHadAcceptedIsNotCountedBesideItsReport() {
        target.onDispatched(50_000);
        target.onDispatched(50_000);
        target.accepted(50_000);

        Pools.report(target, true, 1, 0, Pools.NOW);

        assertThat(target.utilisation()).isEqualTo(0.2);
        assertThat(target.waitMicros(SERVICE_MICROS, Pools.NOW)).isEqualTo(50_000);
        target.ended();
        target.ended();
        assertThat(target.utilisation()).isZero();
    }

    @Test
    void aReportedWaitPassesWithTime() {
        Pools.report(target, true, 0, 300_000, Pools.NOW);

        assertThat(target.waitMicros(SERVICE_MICROS, Pools.NOW + 100_000)).isEqualTo(200_000);
        assertThat(target.waitMicros(SERVICE_MICROS, Pools.NOW + 400_000)).isZero();
    }
}
