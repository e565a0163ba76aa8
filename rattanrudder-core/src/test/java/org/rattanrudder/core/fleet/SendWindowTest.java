package org.rattanrudder.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.rattanrudder.core.topics.TestPositions.position;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.gateway.EngineTraits;

class SendWindowTest {
    private static final EngineTraits ENGINE = new EngineTraits(128, 65_000, 18_432, 180_000);
    private static final long NOW = 10_000;

    /**
     * Without limits, prompts fill an engine's memory, running requests are preempted and recomputed, and it never
     * recovers.
     */
    @ParameterizedTest
    @CsvSource({
        "0, 0, false, true",
        "1, 9000, false, true",
        "2, 9000, false, false",
        "7, 1000, false, true",
        "8, 1000, false, false",
        "4, 1000, true, true",
        "5, 1000, true, false",
    })
    void engineAcceptsRequestsUpToItsLimits(int running, int prefill, boolean late, boolean expected) {
        Target target = PlacementTest.target("i-1", "north", 1);
        for (int sent = 0; sent < running; sent++) {
            target.onSent(new Target.RequestCost(9_000, prefill), NOW);
        }

        assertThat(SendWindow.targetsWithRoom(List.of(target), ENGINE, 9_000, late, NOW))
                .hasSize(expected ? 1 : 0);
    }

    /** Guards against relays that overfill an engine together, since they learn late what others send there. */
    @Test
    void unsharedEngineIsUsedOnlyIfNoSharedOneAcceptsWork() {
        Fleet fleet = fleetOfForty();
        List<Target> engines = fleet.activeTargets("llm", NOW);
        List<Target> shared = engines.stream().filter(Target::isShared).toList();
        assertThat(shared).hasSizeBetween(3, 20);

        assertThat(SendWindow.targetsWithRoom(engines, ENGINE, 9_000, false, NOW))
                .isEqualTo(shared);

        shared.forEach(target -> target.onSent(new Target.RequestCost(65_000, 20_000), NOW));
        assertThat(SendWindow.targetsWithRoom(engines, ENGINE, 9_000, false, NOW))
                .isEmpty();

        shared.forEach(target -> target.markLoadingWeights(NOW + 1_000));
        assertThat(SendWindow.targetsWithRoom(engines, ENGINE, 9_000, false, NOW))
                .hasSize(engines.size() - shared.size())
                .noneMatch(Target::isShared);

        Target other =
                SendWindow.targetsWithRoom(engines, ENGINE, 9_000, false, NOW).get(0);
        other.onSent(new Target.RequestCost(45_000, 0), NOW);
        assertThat(SendWindow.targetsWithRoom(engines, ENGINE, 9_000, false, NOW))
                .doesNotContain(other);
    }

    /** Forty relays and forty engines in five failure domains. */
    private static Fleet fleetOfForty() {
        Fleet fleet = new Fleet();
        fleet.onLogAvailable(0);
        Map<String, String> relays = new HashMap<>();
        for (int number = 0; number < 40; number++) {
            String domain = "domain-" + number % 5;
            relays.put("relay-" + number, domain);
            Target target = PlacementTest.target("i-" + number, domain, 1);
            fleet.apply(target.id(), Optional.of(target.registration()), position(number), NOW);
        }
        fleet.updateRelays("relay-7", relays);
        return fleet;
    }
}
