package org.rattanrudder.core.parts;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanrudder.core.model.Address;

class StorePollScheduleTest {
    /** When thirty relays poll each store continuously, it rejects most polls and charges for each rejection. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 6, 30})
    void onlyPollersPollAtIntervalAndOthersAreStaggered(int count) {
        List<String> relays =
                IntStream.range(0, count).mapToObj(number -> "relay-" + number).toList();
        Address store = new Address("10.0.0.1", 80);

        List<Long> waits = relays.stream()
                .map(relay -> new StorePollSchedule(relay, store)
                        .pollDelayMillis(relays.stream()
                                .filter(other -> !other.equals(relay))
                                .collect(Collectors.toSet())))
                .toList();

        assertThat(waits.stream().filter(wait -> wait == StorePollSchedule.POLL_INTERVAL_MILLIS))
                .hasSize(count > 8 ? 1 : Math.min(2, count));
        assertThat(waits.stream().filter(wait -> wait != StorePollSchedule.POLL_INTERVAL_MILLIS))
                .doesNotHaveDuplicates()
                .allMatch(wait -> wait >= 1_000);
    }

    /** Relays join and leave: cached ranks must not affect the result for the current relays. */
    @Test
    void pollDelayFollowsRelayChanges() {
        Address store = new Address("10.0.0.1", 80);
        Set<String> all =
                IntStream.range(0, 30).mapToObj(number -> "relay-" + number).collect(Collectors.toSet());
        for (String relay : all) {
            StorePollSchedule schedule = new StorePollSchedule(relay, store);
            Set<String> others =
                    all.stream().filter(other -> !other.equals(relay)).collect(Collectors.toSet());
            schedule.pollDelayMillis(others);

            assertThat(schedule.pollDelayMillis(Set.of())).isEqualTo(StorePollSchedule.POLL_INTERVAL_MILLIS);
            assertThat(schedule.pollDelayMillis(others))
                    .isEqualTo(new StorePollSchedule(relay, store).pollDelayMillis(others));
        }
    }
}
