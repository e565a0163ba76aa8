package org.rattanrudder.core.parts;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
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
                .map(relay -> NewsDuty.askAfterMillis(
                        relay,
                        relays.stream().filter(other -> !other.equals(relay)).toList(),
                        store))
                .toList();

        assertThat(waits.stream().filter(wait -> wait == NewsDuty.GAP_MILLIS))
                .hasSize(count > 8 ? 1 : Math.min(2, count));
        assertThat(waits.stream().filter(wait -> wait != NewsDuty.GAP_MILLIS))
                .doesNotHaveDuplicates()
                .allMatch(wait -> wait >= 1_000);
    }
}
