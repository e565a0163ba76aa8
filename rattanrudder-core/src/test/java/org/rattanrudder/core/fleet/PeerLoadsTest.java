package org.rattanrudder.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.rattanrudder.core.fleet.TestReports.readNothing;
import static org.rattanrudder.core.topics.TestPositions.position;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.fleet.LoadReport.TargetLoad;
import org.rattanrudder.core.gateway.EngineTraits;
import org.rattanrudder.core.parts.RetirementReport;
import org.rattanrudder.core.rollout.VersionQuestion;

class PeerLoadsTest {
    private static final EngineTraits ENGINE = new EngineTraits(128, 65_000, 18_432, 180_000);
    private static final long NOW = 100_000;

    private final PeerLoads peers = new PeerLoads();

    @Test
    void loadOfAllPeersIsSummed() {
        peers.apply(fullReport("a", 1, new TargetLoad("i-1", 2, 18_000, 4_000)), NOW);
        peers.apply(fullReport("b", 1, new TargetLoad("i-1", 1, 9_000, 0), new TargetLoad("i-2", 1, 1, 1)), NOW);

        assertThat(peers.totalAt("i-1", NOW)).isEqualTo(new TargetLoad("i-1", 3, 27_000, 4_000));
        assertThat(peers.liveCount(NOW)).isEqualTo(2);
    }

    @Test
    void lateOrDuplicateReportIsDropped() {
        peers.apply(fullReport("a", 5, new TargetLoad("i-1", 1, 9_000, 0)), NOW);
        peers.apply(fullReport("a", 4, new TargetLoad("i-1", 7, 63_000, 0)), NOW);

        assertThat(peers.totalAt("i-1", NOW).requests()).isEqualTo(1);
    }

    /**
     * 27 relays exchange full reports ten times a second. In between, each sends a request to the engine that looks
     * idle to all of them, and its memory overflows. An incremental report therefore follows each dispatch at once.
     */
    @Test
    void incrementalReportUpdatesOnlyItsTargets() {
        peers.apply(fullReport("a", 5, new TargetLoad("i-1", 1, 9_000, 0), new TargetLoad("i-2", 1, 900, 0)), NOW);

        peers.apply(incrementalReport("a", 6, new TargetLoad("i-1", 2, 18_000, 9_000)), NOW);
        peers.apply(incrementalReport("a", 4, new TargetLoad("i-2", 9, 9_000, 9_000)), NOW);

        assertThat(peers.totalAt("i-1", NOW).tokens()).isEqualTo(18_000);
        assertThat(peers.totalAt("i-2", NOW).tokens()).isEqualTo(900);

        peers.apply(fullReport("a", 7, new TargetLoad("i-2", 1, 900, 0)), NOW);

        assertThat(peers.totalAt("i-1", NOW).requests()).isZero();
    }

    /** The first report received from a relay after a start may be an incremental one. */
    @Test
    void incrementalReportCountsBeforeAnyFullReport() {
        peers.apply(incrementalReport("a", 1, new TargetLoad("i-1", 2, 18_000, 9_000)), NOW);

        assertThat(peers.totalAt("i-1", NOW).requests()).isEqualTo(2);
    }

    @Test
    void peerIsReadyWhileItsReportIsFresh() {
        assertThat(peers.anyReady(NOW)).isFalse();
        peers.apply(fullReport("a", 1), NOW);

        assertThat(peers.anyReady(NOW)).isTrue();
        assertThat(peers.anyReady(NOW + PeerLoads.MIN_VALID_MILLIS + 1)).isFalse();
    }

    /** A relay crashes with requests in flight; its last report would keep engines closed to its peers for good. */
    @Test
    void loadOfUnresponsivePeerExpires() {
        peers.apply(fullReport("a", 1, new TargetLoad("i-1", 7, 63_000, 0)), NOW);

        assertThat(peers.totalAt("i-1", NOW + PeerLoads.MIN_VALID_MILLIS + 1).requests())
                .isZero();
        assertThat(peers.liveCount(NOW + PeerLoads.MIN_VALID_MILLIS + 1)).isZero();
    }

    /** Guards against a relay of a large fleet that reports rarely and counts as stale between two reports. */
    @Test
    void reportWithLongIntervalIsValidForLonger() {
        peers.apply(fullReport("a", 1, new TargetLoad("i-1", 7, 63_000, 0)).withInterval(1_500, List.of()), NOW);
        peers.apply(incrementalReport("a", 2, new TargetLoad("i-1", 8, 64_000, 0)), NOW);

        assertThat(peers.totalAt("i-1", NOW + 4_500).requests()).isEqualTo(8);
        assertThat(peers.liveCount(NOW + 4_501)).isZero();
    }

    /**
     * Six relays send long prompts to the same engine, each unaware of the others. The engine's memory overflows,
     * running requests are preempted and their prompts recomputed, and all of them are late.
     */
    @Test
    void engineFilledByPeersHasNoRoom() {
        Fleet fleet = new Fleet();
        fleet.onLogAvailable(0);
        fleet.apply("i-1", Optional.of(FleetTest.registration("i-1", false)), position(1), NOW);
        List<Target> targets = fleet.activeTargets("llm", NOW);
        assertThat(SendWindow.targetsWithRoom(targets, ENGINE, 9_000, false, NOW))
                .hasSize(1);

        fleet.applyLoadReport(fullReport("a", 1, new TargetLoad("i-1", 5, 45_000, 0)), NOW);
        fleet.applyLoadReport(fullReport("b", 1, new TargetLoad("i-1", 3, 27_000, 0)), NOW);

        assertThat(SendWindow.targetsWithRoom(targets, ENGINE, 9_000, false, NOW))
                .isEmpty();
    }

    /**
     * An engine finishes its running requests before it loads new weights. Their responses still report the old
     * weights; when these were taken for the end of the load, relays sent requests there that were rejected.
     */
    @Test
    void responseOnOldWeightsDoesNotEndLoading() {
        Target target = PlacementTest.target("i-1", "north", 1);
        target.markLoadingWeights(NOW + 5_000);

        target.confirmWeights("m", 1, NOW + 100);
        assertThat(target.isLoadingWeights(NOW + 200)).isTrue();

        target.confirmWeights("m", 2, NOW + 3_000);
        assertThat(target.isLoadingWeights(NOW + 3_100)).isFalse();
    }

    /**
     * A relay that is cut off from the store doesn't read that an engine was ordered to load weights, and would send it
     * requests that are rejected. The relay that sent the order reports it to its peers.
     */
    @Test
    void engineThatPeerOrderedToLoadGetsNoRequests() {
        Fleet fleet = new Fleet();
        fleet.onLogAvailable(0);
        fleet.apply("i-1", Optional.of(FleetTest.registration("i-1", false)), position(1), NOW);

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
                        readNothing(),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        RetirementReport.NONE,
                        VersionQuestion.NONE,
                        0),
                NOW);

        assertThat(SendWindow.targetsWithRoom(fleet.activeTargets("llm", NOW), ENGINE, 9_000, false, NOW))
                .isEmpty();
        assertThat(SendWindow.targetsWithRoom(
                        fleet.activeTargets("llm", NOW), ENGINE, 9_000, false, NOW + Fleet.LOADING_REPORT_VALID_MILLIS))
                .hasSize(1);
    }

    /**
     * If a full engine were tried at a constant interval, each attempt would waste a request and a retry from the
     * budget.
     */
    @Test
    void pauseGrowsWithConsecutiveRejections() {
        Target target = PlacementTest.target("i-1", "north", 1);
        target.onRejected(NOW);
        assertThat(target.isPaused(NOW + 300)).isFalse();
        target.onRejected(NOW);
        target.onRejected(NOW);
        assertThat(target.isPaused(NOW + 900)).isTrue();

        target.recordSuccess(0, NOW + 900);
        assertThat(target.isPaused(NOW + 900)).isFalse();
    }

    /**
     * One relay sees an engine serve its new weights; without its report, the engine would turn away requests of the
     * other relays for another second.
     */
    @Test
    void weightsConfirmedByPeerAreApplied() {
        Fleet fleet = new Fleet();
        fleet.onLogAvailable(0);
        fleet.apply("i-1", Optional.of(FleetTest.registration("i-1", false)), position(1), NOW);
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
                        readNothing(),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        RetirementReport.NONE,
                        VersionQuestion.NONE,
                        0),
                NOW);

        assertThat(fleet.find("i-1").orElseThrow().weights("m")).isEqualTo(2);
        assertThat(seen.weightsConfirmedSince(NOW + 1)).isEmpty();
    }

    /** Sums are cached between reports: in any order of reports, they must match the newest report of each peer. */
    @Property
    void sumsMatchNewestReportOfEachPeer(@ForAll long seed) {
        Random random = new Random(seed);
        PeerLoads summed = new PeerLoads();
        Map<String, Map<String, TargetLoad>> expectedLoads = new HashMap<>();
        Map<String, Long> receivedAt = new HashMap<>();
        long now = NOW;
        for (int sequence = 1; sequence <= 200; sequence++) {
            now += random.nextInt(10) == 0 ? random.nextInt(1_500) : random.nextInt(3);
            String relay = "relay-" + random.nextInt(4);
            TargetLoad load = new TargetLoad(
                    "i-" + random.nextInt(5), random.nextInt(9), random.nextInt(9_000), random.nextInt(9_000));
            boolean full = random.nextInt(3) == 0;
            long at = now;
            receivedAt.values().removeIf(received -> at - received > PeerLoads.MIN_VALID_MILLIS);
            expectedLoads.keySet().retainAll(receivedAt.keySet());
            assertSums(summed, expectedLoads, now);
            summed.apply(full ? fullReport(relay, sequence, load) : incrementalReport(relay, sequence, load), now);
            receivedAt.put(relay, now);
            Map<String, TargetLoad> known = expectedLoads.computeIfAbsent(relay, unseen -> new HashMap<>());
            if (full) {
                known.clear();
            }
            known.put(load.target(), load);
            assertSums(summed, expectedLoads, now);
        }
    }

    private static void assertSums(PeerLoads summed, Map<String, Map<String, TargetLoad>> expectedLoads, long now) {
        for (int target = 0; target < 5; target++) {
            String id = "i-" + target;
            TargetLoad expected = expectedLoads.values().stream()
                    .map(loads -> loads.getOrDefault(id, TargetLoad.none(id)))
                    .reduce(TargetLoad.none(id), TargetLoad::plus);
            assertThat(summed.totalAt(id, now)).isEqualTo(expected);
        }
    }

    private static LoadReport fullReport(String relay, long sequence, TargetLoad... targets) {
        return LoadReport.ofTargets(relay, sequence, true, List.of(targets), true, readNothing());
    }

    private static LoadReport incrementalReport(String relay, long sequence, TargetLoad... targets) {
        return LoadReport.ofTargets(relay, sequence, false, List.of(targets), true, readNothing());
    }
}
