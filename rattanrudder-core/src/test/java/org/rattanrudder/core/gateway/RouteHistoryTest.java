package org.rattanrudder.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class RouteHistoryTest {
    private final RouteHistory history = new RouteHistory();

    private void configure(long now, String... services) {
        configure(now, 4_000, services);
    }

    private void configure(long now, long timeoutMillis, String... services) {
        List<WeightedService> weighted = Arrays.stream(services)
                .map(service -> new WeightedService(service, 1))
                .toList();
        history.update(
                new RouteTable(List.of(new ServiceRoute(
                        "check",
                        "depot.example",
                        "/check/",
                        RepeatRule.STREAM_RESUMABLE,
                        timeoutMillis,
                        400,
                        300,
                        1,
                        weighted,
                        2,
                        true))),
                now);
    }

    @Test
    void aConfigurationThatLeavesARouteAloneLeavesItsHistory() {
        configure(100, "llm");
        configure(900, "llm");

        assertThat(history.soleService("check", 100)).contains("llm");
        assertThat(history.soleService("check", 99)).isEmpty();
    }

    /** Guards against a stream that goes on at the service to which its route has been moved since. */
    @Test
    void aRouteThatWasMovedLeadsToItsNewServiceSinceThen() {
        configure(100, "older");
        configure(900, "newer");

        assertThat(history.soleService("check", 899)).isEmpty();
        assertThat(history.soleService("check", 900)).contains("newer");
    }

    @Test
    void aSplitRouteAndOneThatIsGoneLeadToNoServiceForCertain() {
        configure(100, "older", "newer");
        assertThat(history.soleService("check", 200)).isEmpty();

        configure(300, "newer");
        history.update(new RouteTable(List.of()), 400);
        assertThat(history.soleService("check", 500)).isEmpty();
    }

    /** Guards against a route that was moved and back by configurations that weren't read. */
    @Test
    void whereARouteLedBeforeConfigurationsWereMissedIsNotKnown() {
        configure(100, "llm");
        history.restart(900);

        assertThat(history.soleService("check", 899)).isEmpty();
        assertThat(history.soleService("check", 900)).contains("llm");
    }

    /** Guards against streams that were begun under a longer timeout and come back after it was shortened. */
    @Test
    void aLongerTimeoutCountsForAsLongAsItsCallersMayComeBack() {
        configure(100, 4_000, "llm");
        configure(500, 1_000, "llm");

        assertThat(history.longestTimeoutMillis("check", 8_500)).isEqualTo(4_000);
        assertThat(history.longestTimeoutMillis("check", 8_501)).isEqualTo(1_000);
        assertThat(history.longestTimeoutMillis("other", 600)).isZero();
    }
}
