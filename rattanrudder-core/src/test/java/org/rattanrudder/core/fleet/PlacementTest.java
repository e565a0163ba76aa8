package org.rattanrudder.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.gateway.BackendService;
import org.rattanrudder.core.gateway.EngineTraits;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.routing.Hashing;

class PlacementTest {
    private static final long NOW = 50_000;
    private static final EngineTraits ENGINE = new EngineTraits(128, 65_000, 18_432, 180_000);

    private final Target near = target("i-near", "north", 1);
    private final Target alsoNear = target("i-also-near", "north", 1);
    private final Target far = target("i-far", "south", 1);
    private final List<Target> targets = new ArrayList<>(List.of(near, alsoNear, far));

    @Test
    void ownFailureDomainIsPreferredUnlessBusier() {
        near.onSent(new Target.RequestCost(9_000, 9_000), NOW);

        assertThat(chosen(0, 0)).isEqualTo("i-also-near");
    }

    @Test
    void pendingPrefillDivertsRequestsToAnotherDomain() {
        for (int sent = 0; sent < 3; sent++) {
            near.onSent(new Target.RequestCost(9_000, 9_000), NOW);
            alsoNear.onSent(new Target.RequestCost(9_000, 9_000), NOW);
        }

        assertThat(chosen(0, 0)).isEqualTo("i-far");
    }

    /**
     * A target hangs on half of its requests while its probe succeeds, so only the outcomes of requests reveal the
     * failure.
     */
    @Test
    void failingTargetIsAvoidedAndLaterRetried() {
        for (int failures = 0; failures < 4; failures++) {
            near.recordFailure(300, NOW);
            alsoNear.recordFailure(300, NOW);
        }

        assertThat(chosen(0, 0)).isEqualTo("i-far");
        assertThat(Placement.choose(targets, queryForWeights(0, 0), NOW + 30_000))
                .get()
                .extracting(choice -> choice.target().registration().failureDomain())
                .isEqualTo("north");
    }

    @Test
    void enginesWithNewestWeightsArePreferred() {
        far.confirmWeights("m", 2, NOW);
        near.onSent(new Target.RequestCost(9_000, 9_000), NOW);
        alsoNear.onSent(new Target.RequestCost(9_000, 9_000), NOW);

        assertThat(chosen(2, 0)).isEqualTo("i-far");
    }

    /** Once the time for older weights has passed, no request may start on them, even if no other engine is free. */
    @Test
    void noRequestStartsOnWeightsOlderThanAllowed() {
        assertThat(Placement.choose(targets, queryForWeights(2, 2), NOW)).isEmpty();

        near.confirmWeights("m", 2, NOW);
        near.recordFailure(4_000, NOW);
        assertThat(chosen(2, 2)).isEqualTo("i-near");
    }

    /**
     * Twenty-seven relays get requests with the same context within the 100 ms between load reports. When all of them
     * picked the engine that seemed least busy, it preempted running requests and recomputed their prompts, while its
     * neighbours were idle.
     */
    @ParameterizedTest
    @CsvSource({"2, 2", "5, 3", "26, 8"})
    void relaysWithEqualInformationSpreadOverEngines(int otherRelays, int engines) {
        List<Target> idle = IntStream.range(0, 12)
                .mapToObj(engine -> target("i-" + engine, "north", 1))
                .toList();

        long taken = IntStream.rangeClosed(0, otherRelays)
                .mapToObj(relay -> Placement.choose(idle, query(Hashing.of("relay-" + relay), otherRelays), NOW)
                        .orElseThrow()
                        .target())
                .distinct()
                .count();

        assertThat(taken).isGreaterThanOrEqualTo(engines);
    }

    @Test
    void lessBusyEngineWinsOverRelayPreference() {
        List<Target> engines = List.of(target("i-0", "north", 1), target("i-1", "north", 1));
        PlacementQuery query = query(Hashing.of("relay-3"), 26);
        Target first = Placement.choose(engines, query, NOW).orElseThrow().target();
        first.onSent(new Target.RequestCost(9_000, 9_000), NOW);

        assertThat(Placement.choose(engines, query, NOW).orElseThrow().target()).isNotSameAs(first);
    }

    /**
     * A server accepts eight connections over all relays. When it reset further ones, it was unknown whether the POST
     * requests on them had run.
     */
    @Test
    void targetGetsNoMoreRequestsThanFreeConnections() {
        PlacementQuery two = new PlacementQuery(
                "log", "north", Optional.empty(), Optional.empty(), 0, 0, 0, 0, 0, 0, 20, 2, Set.of());
        List<Target> one = List.of(near);
        near.onSent(new Target.RequestCost(0, 0), NOW);
        assertThat(Placement.choose(one, two, NOW)).isPresent();

        near.onSent(new Target.RequestCost(0, 0), NOW);
        assertThat(Placement.choose(one, two, NOW)).isEmpty();

        near.onEnded(new Target.RequestCost(0, 0), false);
        assertThat(Placement.choose(one, two, NOW)).isPresent();
    }

    @ParameterizedTest
    @CsvSource({"96, 1, 96", "96, 0, 96", "220, 27, 8", "8, 27, 1", "0, 3, 1"})
    void connectionsAreDividedAmongRelays(int maximum, int relays, int expected) {
        assertThat(new BackendService("log", maximum, Optional.empty()).connectionsPerRelay(relays))
                .isEqualTo(expected);
    }

    static PlacementQuery query(long relay, int otherRelays) {
        return new PlacementQuery(
                "llm",
                "north",
                Optional.of(ENGINE),
                Optional.of("m"),
                0,
                0,
                9_000,
                77,
                relay,
                otherRelays,
                20,
                600,
                Set.of());
    }

    private String chosen(long newest, long oldest) {
        return Placement.choose(targets, queryForWeights(newest, oldest), NOW)
                .orElseThrow()
                .target()
                .id();
    }

    private static PlacementQuery queryForWeights(long newest, long oldest) {
        return new PlacementQuery(
                "llm",
                "north",
                Optional.of(ENGINE),
                Optional.of("m"),
                newest,
                oldest,
                9_000,
                0,
                0,
                0,
                20,
                600,
                Set.of());
    }

    static Target target(String id, String domain, long weights) {
        return target(id, domain, weights, new PeerLoads(), new ServiceCapacity());
    }

    static Target target(String id, String domain, long weights, PeerLoads peers, ServiceCapacity service) {
        return new Target(
                new TargetRegistration(
                        id,
                        TargetRegistration.START_UNKNOWN,
                        "llm",
                        new Address("10.0.0.1", 80),
                        domain,
                        128,
                        false,
                        Map.of("m", weights)),
                new TargetNotices(TargetRegistration.START_UNKNOWN),
                peers,
                new TargetSharing(),
                service,
                PublishedVersions.ANY);
    }
}
