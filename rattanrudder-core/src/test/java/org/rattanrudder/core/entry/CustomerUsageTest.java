package org.rattanrudder.core.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.Address;

class CustomerUsageTest {
    private static final long SECOND = 1_000_000;
    private static final Address COMPANION = new Address("10.0.0.1", 9000);
    private final CustomerUsage usage = new CustomerUsage();

    private void receive(long incarnation, long taken, long now) {
        usage.onHeartbeat(
                COMPANION,
                new Frame.Heartbeat(
                        incarnation, 1, List.of(), List.of(), 1, List.of(new Frame.CustomerCount(7, taken))),
                now);
    }

    @Test
    void aLostHeartbeatLosesNoCounts() {
        receive(1, 100, SECOND);
        receive(1, 400, 4 * SECOND);

        assertThat(usage.requestsPerSecond(7, 5 * SECOND)).isPositive();
        assertThat(usage.requestsPerSecond(8, 5 * SECOND)).isZero();
    }

    /** A customer is refused by all entries after a companion restart: the new counter is taken as an increase. */
    @Test
    void theCountsOfARestartedCompanionStartAnew() {
        receive(1, 100, SECOND);
        receive(2, 1_000_000, 2 * SECOND);

        assertThat(usage.requestsPerSecond(7, 3 * SECOND)).isZero();
    }
}
