package org.rattanrudder.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StopRulesTest {
    /**
     * A relay is asked to stop while no other one is ready, and stays for some seconds. An auditor's question that it
     * takes four seconds later still runs when the process must end, and is cut in the middle.
     */
    @ParameterizedTest
    @CsvSource({
        "STREAM_ONCE, 12000, 1000, true",
        "STREAM_ONCE, 12000, 2600, true",
        "STREAM_ONCE, 12000, 4000, false",
        "STREAM_RESUMABLE, 4000, 4000, false",
        "AT_MOST_ONCE, 800, 4000, true",
        "AT_MOST_ONCE, 800, 6400, true",
        "AT_MOST_ONCE, 800, 6401, false",
        "IDEMPOTENT, 9000, 100, false",
    })
    void aRequestIsTakenOnlyIfItCanEnd(RepeatRule repeat, long timeout, long since, boolean expected) {
        ServiceRoute route = new ServiceRoute(
                "r", "h", "/", repeat, timeout, 400, 300, 0, List.of(new WeightedService("s", 1)), 2, true);

        assertThat(StopRules.takes(route, since, 8_000)).isEqualTo(expected);
    }
}
