package org.rattanrudder.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Chars;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class RouteTableTest {
    private static final int LONG_PATH = 16_384;
    private static final int LOOKUPS = 400;

    /** A relay stands still for less than a request may be late, under some hundred such requests at once. */
    private static final long MAX_MILLIS = 500;

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

    /** Guards against a path of very many slashes that holds a relay up: each cost the length of the path. */
    @ParameterizedTest
    @ValueSource(strings = {"/", "/logs/old/", "/logs/a/"})
    void aPathOfManySlashesCostsItsLengthOnly(String segment) {
        String path = "/logs" + segment.repeat(LONG_PATH / segment.length());
        long began = System.nanoTime();

        for (int lookup = 0; lookup < LOOKUPS; lookup++) {
            assertThat(TABLE.find("depot.example", path)).isPresent();
        }

        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began)).isLessThan(MAX_MILLIS);
    }

    /** Guards against another choice than the longest of all prefixes that begin the path. */
    @Property(tries = 500)
    void theLongestOfAllPrefixesIsFound(
            @ForAll @Size(max = 8) List<@StringLength(max = 6) @Chars({'/', 'a', 'b'}) String> prefixes,
            @ForAll @StringLength(max = 10) @Chars({'/', 'a', 'b'}) String path) {
        List<ServiceRoute> routes = prefixes.stream()
                .distinct()
                .map(prefix -> route(prefix, "depot.example", "/" + prefix + "/"))
                .toList();

        Optional<String> longest = routes.stream()
                .map(ServiceRoute::pathPrefix)
                .filter(path::startsWith)
                .max(Comparator.comparingInt(String::length));

        assertThat(new RouteTable(routes).find("depot.example", path).map(ServiceRoute::pathPrefix))
                .isEqualTo(longest);
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
