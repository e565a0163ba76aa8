package org.rattanrudder.standins.deployment;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class PortsTest {
    /** The least port that Linux gives to outgoing connections, unless it is told otherwise. */
    private static final int FIRST_OUTGOING = 32_768;

    @Test
    void chosenPortsAreNeverThoseOfOutgoingConnections() {
        // Processes listen some hundred ms after their ports were chosen. Ports from the range of outgoing connections
        // were given to such a connection meanwhile, and a process that couldn't listen ended.
        List<String> addresses = IntStream.range(17_000, 17_200)
                .mapToObj(port -> "127.0.0.1:" + port)
                .toList();
        Ports ports = Ports.free(addresses);

        assertThat(addresses).allSatisfy(address -> {
            String chosen = ports.apply(address);
            assertThat(Integer.parseInt(chosen.substring(chosen.indexOf(':') + 1)))
                    .isLessThan(FIRST_OUTGOING);
        });
        assertThat(addresses.stream().map(ports::apply)).doesNotHaveDuplicates();
    }
}
