package org.rattanrudder.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RouteTableTest {
    private static final RouteTable TABLE = new RouteTable(List.of(
            route("root", "depot.example", "/"),
            route("logs", "depot.example", "/logs/"),
            route("old", "depot.example", "/logs/old/"),
            route("other", "mine.example", "/logs/")));

    @ParameterizedTest
    @CsvSource({
        "depot.example, /logs/7, logs",
        "depot.example, /logs/, logs",
        "depot.example, /logs, root",
        "depot.example, /logs/old/7/8, old",
        "depot.example, /logs/older/7, logs",
        "depot.example, /logs/7?from=/logs/old/, logs",
        "DEPOT.example:8080, /logs/old/, old",
        "mine.example, /logs/old/7, other",
        "mine.example, /, ",
        "unknown.example, /logs/7, ",
    })
    void longestPrefixOfHostWins(String host, String target, String expected) {
        Optional<String> found = TABLE.find(host, target).map(ServiceRoute::name);

        assertThat(found).isEqualTo(Optional.ofNullable(expected));
    }

    private static ServiceRoute route(String name, String host, String prefix) {
        return new ServiceRoute(
                name,
                host,
                prefix,
                RepeatRule.IDEMPOTENT,
                1_000,
                100,
                0,
                0,
                List.of(new WeightedService("s", 1)),
                2,
                true);
    }
}
