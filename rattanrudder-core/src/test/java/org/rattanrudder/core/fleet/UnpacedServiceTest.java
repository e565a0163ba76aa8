package org.rattanrudder.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.rattanrudder.core.fleet.FirstEventSample.CapacityAtSend;
import org.rattanrudder.core.fleet.LoadReport.TargetLoad;
import org.rattanrudder.core.gateway.EngineTraits;
import org.rattanrudder.core.routing.Hashing;

/**
 * Services whose targets report no pace. Guards against decisions that change for deployments which the learned figures
 * aren't meant for: the formulas here are those from before there were any.
 */
class UnpacedServiceTest {
    private static final long NOW = 1_000_000;
    private static final EngineTraits ENGINE = new EngineTraits(128, 65_000, 18_432, 10_000);

    private final PeerLoads peers = new PeerLoads();
    private final ServiceCapacity service = new ServiceCapacity();

    private List<Target> targets(SplittableRandom random) {
        List<Target> targets = new ArrayList<>();
        List<TargetLoad> loads = new ArrayList<>();
        for (int index = 0; index < 1 + random.nextInt(12); index++) {
            String id = "i-" + index;
            Target target = PlacementTest.target(id, random.nextBoolean() ? "north" : "south", 1, peers, service);
            for (int sent = random.nextInt(5); sent > 0; sent--) {
                target.onSent(new Target.RequestCost(random.nextInt(9_000), random.nextInt(9_000)), NOW);
            }
            if (random.nextInt(4) == 0) {
                target.recordFailure(random.nextInt(3_000), NOW);
            }
            target.recordSuccess(random.nextInt(-100, 500), NOW);
            target.capacity()
                    .onReported(
                            new SelfReport.Load(3, 1, OptionalInt.of(1 + random.nextInt(64)), OptionalInt.empty()),
                            NOW);
            CapacityAtSend before = new CapacityAtSend(random.nextInt(9_000), random.nextInt(64), 1);
            target.capacity().onFirstEvent(new FirstEventSample(before, 900, 900, 0, random.nextInt(900)), NOW);
            target.capacity().onCall(before, random.nextInt(900), 20, NOW);
            loads.add(new TargetLoad(id, random.nextInt(9), random.nextInt(9_000), random.nextInt(9_000)));
            targets.add(target);
        }
        if (random.nextBoolean()) {
            peers.apply(TestReports.ofLoads(1, loads), NOW);
        }
        return targets;
    }

    @Property(tries = 2_000)
    void placementIsAsBefore(@ForAll long seed, @ForAll boolean engine, @ForAll @IntRange(max = 40) int otherRelays) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Target> targets = targets(random);
        PlacementQuery query = new PlacementQuery(
                "llm",
                "north",
                engine ? Optional.of(ENGINE) : Optional.empty(),
                engine ? Optional.of("m") : Optional.empty(),
                random.nextInt(3),
                0,
                1 + random.nextInt(20_000),
                random.nextInt(2),
                Hashing.of("relay-3"),
                otherRelays,
                random.nextDouble(100),
                random.nextInt(1, 9),
                random.nextBoolean() ? Set.of("i-0") : Set.of());
        Optional<Target> expected = targets.stream()
                .filter(target -> target.inFlight() < query.connections())
                .reduce((best, next) -> before(next, query) < before(best, query) ? next : best);

        Optional<Placement.Choice> choice = Placement.choose(targets, query, NOW, () -> true);

        assertThat(choice.map(Placement.Choice::target)).isEqualTo(expected);
        choice.ifPresent(found -> assertThat(found.expectedMillis()).isEqualTo(before(found.target(), query)));
    }

    private static double before(Target target, PlacementQuery query) {
        double millis = query.engine().isPresent() ? engineBefore(target, query) : plainBefore(target, query);
        millis += target.firstByteExcess(NOW) + 1_500 * target.failureRatio(NOW);
        if (!target.registration().failureDomain().equals(query.failureDomain())) {
            millis += 20 + 7.0 * query.tokens() / 1_000;
        }
        return query.tried().contains(target.id()) ? millis + 20_000 : millis;
    }

    private static double plainBefore(Target target, PlacementQuery query) {
        double share = (double) target.requests(NOW) / target.registration().slots();
        return query.callMillis() * share * (share < 1 ? share : 2 * share);
    }

    private static double engineBefore(Target target, PlacementQuery query) {
        TargetLoad peers = target.peerLoad(NOW);
        double millis = (target.pendingPrefillTokens() + peers.pendingPrefillTokens()) / 100.0
                + 2.0 * (target.inFlight() + peers.requests());
        double memory = 65_000 * 0.9;
        long wanted = target.inFlightTokens() + peers.tokens() + query.tokens();
        millis += wanted > memory ? 400 * wanted / memory : 0;
        millis += query.newestWeights() > 1 ? 80 : 0;
        double context = query.affinity() == 0 ? 0 : 12;
        double preference = Math.min(60.0, 2.0 * query.otherRelays()) * uniform(query.relay(), target)
                + context * uniform(query.affinity(), target);
        return millis - preference;
    }

    private static double uniform(long hash, Target target) {
        return (Hashing.combine(hash, target.idHash()) >>> 11) * 0x1.0p-53;
    }

    @Property(tries = 1_000)
    void windowsBoundsAndExpectedTimesAreAsBefore(
            @ForAll long seed, @ForAll boolean late, @ForAll @IntRange(max = 300) int relays) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Target> targets = targets(random);
        int tokens = random.nextInt(40_000);
        List<Target> expected =
                targets.stream().filter(target -> hadRoom(target, tokens, late)).toList();

        assertThat(SendWindow.targetsWithRoom(targets, ENGINE, tokens, late, NOW))
                .isEqualTo(expected);
        assertThat(HoldingQueue.maxLateTokens(targets.size(), relays, service, Optional.of(ENGINE), NOW))
                .isEqualTo(targets.size() * 40_000L / Math.max(1, relays));
        assertThat(targets)
                .allSatisfy(target -> assertThat(target.capacity().firstEventMillis(tokens, NOW))
                        .isEqualTo(80 + tokens / 100.0));
    }

    private static boolean hadRoom(Target target, int tokens, boolean late) {
        TargetLoad peers = target.peerLoad(NOW);
        long prefill = target.pendingPrefillTokens() + peers.pendingPrefillTokens();
        long memory = target.inFlightTokens() + peers.tokens() + tokens;
        return target.inFlight() + peers.requests() == 0
                || prefill < (late ? 6_000 : 14_000)
                        && memory <= 65_000 * (late ? 0.75 : 1.15)
                        && target.requests(NOW) < 128;
    }
}
