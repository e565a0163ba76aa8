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

class NewsDutyTest {
    /** Thirty relays ask each store all the time, it refuses most of them, and each refusal is paid for. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 6, 30})
    void aFewRelaysAskAndTheOthersOnlyAfterAWhile(int count) {
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

    /** Relays come and go: an order that was worked out before must not decide for those that are there now. */
    @Test
    void aDutyFollowsTheRelaysThatAreThere() {
        Address store = new Address("10.0.0.1", 80);
        Set<String> all =
                IntStream.range(0, 30).mapToObj(number -> "relay-" + number).collect(Collectors.toSet());
        for (String relay : all) {
            StorePollSchedule duty = new StorePollSchedule(relay, store);
            Set<String> others =
                    all.stream().filter(other -> !other.equals(relay)).collect(Collectors.toSet());
            duty.pollDelayMillis(others);

            assertThat(duty.pollDelayMillis(Set.of())).isEqualTo(StorePollSchedule.POLL_INTERVAL_MILLIS);
            assertThat(duty.pollDelayMillis(others))
                    .isEqualTo(new StorePollSchedule(relay, store).pollDelayMillis(others));
        }
    }
}
