package org.rattanrudder.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.fleet.LoadReport.ReadOffsets;
import org.rattanrudder.core.fleet.LoadReport.TargetLoad;
import org.rattanrudder.core.gateway.EngineTraits;

class PeerLoadsTest {
    private static final EngineTraits ENGINE = new EngineTraits(128, 65_000, 18_432, 180_000);
    private static final long NOW = 100_000;

    private final PeerLoads peers = new PeerLoads();

    @Test
    void theWorkOfAllOthersIsAddedUp() {
        peers.heard(load("a", 1, new TargetLoad("i-1", 2, 18_000, 4_000)), NOW);
        peers.heard(load("b", 1, new TargetLoad("i-1", 1, 9_000, 0), new TargetLoad("i-2", 1, 1, 1)), NOW);

        assertThat(peers.at("i-1", NOW)).isEqualTo(new TargetLoad("i-1", 3, 27_000, 4_000));
        assertThat(peers.alive(NOW)).isEqualTo(2);
    }

    @Test
    void aMessageThatComesLateOrTwiceIsDropped() {
        peers.heard(load("a", 5, new TargetLoad("i-1", 1, 9_000, 0)), NOW);
        peers.heard(load("a", 4, new TargetLoad("i-1", 7, 63_000, 0)), NOW);

        assertThat(peers.at("i-1", NOW).requests()).isEqualTo(1);
    }

    /**
     * 27 relays hear of each other's work ten times a second. In between each sends a check to the engine that seems
     * free to all of them, and its memory overflows. What was just sent is told at once, without all the rest.
     */
    @Test
    void workThatWasJustSentIsAddedToWhatIsKnown() {
        peers.heard(load("a", 5, new TargetLoad("i-1", 1, 9_000, 0), new TargetLoad("i-2", 1, 900, 0)), NOW);

        peers.heard(sent("a", 6, new TargetLoad("i-1", 2, 18_000, 9_000)), NOW);
        peers.heard(sent("a", 4, new TargetLoad("i-2", 9, 9_000, 9_000)), NOW);

        assertThat(peers.at("i-1", NOW).tokens()).isEqualTo(18_000);
        assertThat(peers.at("i-2", NOW).tokens()).isEqualTo(900);

        peers.heard(load("a", 7, new TargetLoad("i-2", 1, 900, 0)), NOW);

        assertThat(peers.at("i-1", NOW).requests()).isZero();
    }

    /** The first that is heard of a relay after a start may be what it just sent. */
    @Test
    void workThatWasJustSentCountsWithoutTheRest() {
        peers.heard(sent("a", 1, new TargetLoad("i-1", 2, 18_000, 9_000)), NOW);

        assertThat(peers.at("i-1", NOW).requests()).isEqualTo(2);
    }

    @Test
    void anotherRelayCountsAsReadyWhileItSaysSo() {
        assertThat(peers.anyReady(NOW)).isFalse();
        peers.heard(load("a", 1), NOW);

        assertThat(peers.anyReady(NOW)).isTrue();
        assertThat(peers.anyReady(NOW + PeerLoads.VALID_MILLIS + 1)).isFalse();
    }

    /** A relay dies with work under way; its word would keep engines closed to the others for good. */
    @Test
    void aSilentRelaysWorkIsForgotten() {
        peers.heard(load("a", 1, new TargetLoad("i-1", 7, 63_000, 0)), NOW);

        assertThat(peers.at("i-1", NOW + PeerLoads.VALID_MILLIS + 1).requests()).isZero();
        assertThat(peers.alive(NOW + PeerLoads.VALID_MILLIS + 1)).isZero();
    }

    /** Guards against a relay of many that tells rarely and counts as gone in between. */
    @Test
    void theWordOfARelayThatTellsRarelyCountsForLonger() {
        peers.heard(load("a", 1, new TargetLoad("i-1", 7, 63_000, 0)).withInterval(1_500, List.of()), NOW);
        peers.heard(sent("a", 2, new TargetLoad("i-1", 8, 64_000, 0)), NOW);

        assertThat(peers.at("i-1", NOW + 4_500).requests()).isEqualTo(8);
        assertThat(peers.alive(NOW + 4_501)).isZero();
    }

    /**
     * Six relays send long checks to the same engine, each thinking it alone. The engine's memory overflows, running
     * checks are thrown out and read again, and all of them are late.
     */
    @Test
    void anEngineThatOthersFilledIsClosed() {
        Fleet fleet = new Fleet();
        fleet.onLogAvailable(0);
        fleet.apply("i-1", Optional.of(FleetTest.entry("i-1", false)), 1, NOW);
        List<Target> targets = fleet.activeTargets("llm", NOW);
        assertThat(SendWindow.targetsWithRoom(targets, ENGINE, 9_000, false, NOW))
                .hasSize(1);

        fleet.applyLoadReport(load("a", 1, new TargetLoad("i-1", 5, 45_000, 0)), NOW);
        fleet.applyLoadReport(load("b", 1, new TargetLoad("i-1", 3, 27_000, 0)), NOW);

        assertThat(SendWindow.targetsWithRoom(targets, ENGINE, 9_000, false, NOW))
                .isEmpty();
    }

    /**
     * An engine ends the runs that it has before it loads new weights. Their answers still name the old ones, which was
     * taken for the end of the load: relays sent their requests there and had them refused.
     */
    @Test
    void answersOnOldWeightsDoNotEndASwap() {
        Target target = PlacementTest.target("i-1", "north", 1);
        target.markLoadingWeights(NOW + 5_000);

        target.confirmWeights("m", 1, NOW + 100);
        assertThat(target.isLoadingWeights(NOW + 200)).isTrue();

        target.confirmWeights("m", 2, NOW + 3_000);
        assertThat(target.isLoadingWeights(NOW + 3_100)).isFalse();
    }

    /**
     * A relay is cut off from the store and doesn't read that an engine was ordered to load weights. It would go on
     * sending checks there and have them refused; the relay that gave the order tells it.
     */
    @Test
    void anEngineThatAnotherRelayOrderedToLoadTakesNoWork() {
        Fleet fleet = new Fleet();
        fleet.onLogAvailable(0);
        fleet.apply("i-1", Optional.of(FleetTest.entry("i-1", false)), 1, NOW);

        fleet.applyLoadReport(
                new LoadReport(
                        "a",
                        1,
                        true,
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of("i-1"),
                        List.of(),
                        true,
                        new ReadOffsets(0, 0, 0),
                        List.of(),
                        0),
                NOW);

        assertThat(SendWindow.targetsWithRoom(fleet.activeTargets("llm", NOW), ENGINE, 9_000, false, NOW))
                .isEmpty();
        assertThat(SendWindow.targetsWithRoom(
                        fleet.activeTargets("llm", NOW), ENGINE, 9_000, false, NOW + Fleet.LOADING_TOLD_MILLIS))
                .hasSize(1);
    }

    /** A full engine is asked again and again; each time a request and a repeat from the budget are lost. */
    @Test
    void anEngineThatKeepsRefusingIsLeftAloneForLonger() {
        Target target = PlacementTest.target("i-1", "north", 1);
        target.onRejected(NOW);
        assertThat(target.isPaused(NOW + 300)).isFalse();
        target.onRejected(NOW);
        target.onRejected(NOW);
        assertThat(target.isPaused(NOW + 900)).isTrue();

        target.recordSuccess(0, NOW + 900);
        assertThat(target.isPaused(NOW + 900)).isFalse();
    }

    /** One relay sees an engine serve its new weights; the others would be sent back by it for a second more. */
    @Test
    void weightsThatOneRelaySawServedAreKnownToAll() {
        Fleet fleet = new Fleet();
        fleet.onLogAvailable(0);
        fleet.apply("i-1", Optional.of(FleetTest.entry("i-1", false)), 1, NOW);
        Target seen = PlacementTest.target("i-1", "north", 1);
        seen.confirmWeights("m", 2, NOW);

        fleet.applyLoadReport(
                new LoadReport(
                        "a",
                        1,
                        true,
                        List.of(),
                        List.of(),
                        seen.weightsConfirmedSince(NOW - 1),
                        List.of(),
                        List.of(),
                        true,
                        new ReadOffsets(0, 0, 0),
                        List.of(),
                        0),
                NOW);

        assertThat(fleet.find("i-1").orElseThrow().weights("m")).isEqualTo(2);
        assertThat(seen.weightsConfirmedSince(NOW + 1)).isEmpty();
    }

    /** Sums are kept between messages: whatever comes when, they must be those of the newest word of each relay. */
    @Property
    void whatIsAddedUpIsTheNewestWordOfEachRelay(@ForAll long seed) {
        Random random = new Random(seed);
        PeerLoads drawn = new PeerLoads();
        Map<String, Map<String, TargetLoad>> words = new HashMap<>();
        Map<String, Long> heardAt = new HashMap<>();
        long now = NOW;
        for (int sequence = 1; sequence <= 200; sequence++) {
            now += random.nextInt(10) == 0 ? random.nextInt(1_500) : random.nextInt(3);
            String relay = "relay-" + random.nextInt(4);
            TargetLoad word = new TargetLoad(
                    "i-" + random.nextInt(5), random.nextInt(9), random.nextInt(9_000), random.nextInt(9_000));
            boolean whole = random.nextInt(3) == 0;
            long at = now;
            heardAt.values().removeIf(heard -> at - heard > PeerLoads.VALID_MILLIS);
            words.keySet().retainAll(heardAt.keySet());
            assertSums(drawn, words, now);
            drawn.heard(whole ? load(relay, sequence, word) : sent(relay, sequence, word), now);
            heardAt.put(relay, now);
            Map<String, TargetLoad> known = words.computeIfAbsent(relay, unheard -> new HashMap<>());
            if (whole) {
                known.clear();
            }
            known.put(word.target(), word);
            assertSums(drawn, words, now);
        }
    }

    private static void assertSums(PeerLoads drawn, Map<String, Map<String, TargetLoad>> words, long now) {
        for (int target = 0; target < 5; target++) {
            String id = "i-" + target;
            TargetLoad expected = words.values().stream()
                    .map(word -> word.getOrDefault(id, TargetLoad.none(id)))
                    .reduce(TargetLoad.none(id), TargetLoad::plus);
            assertThat(drawn.at(id, now)).isEqualTo(expected);
        }
    }

    private static LoadReport load(String relay, long sequence, TargetLoad... targets) {
        return LoadReport.ofTargets(relay, sequence, true, List.of(targets), true, new ReadOffsets(0, 0, 0));
    }

    private static LoadReport sent(String relay, long sequence, TargetLoad... targets) {
        return LoadReport.ofTargets(relay, sequence, false, List.of(targets), true, new ReadOffsets(0, 0, 0));
    }
}
