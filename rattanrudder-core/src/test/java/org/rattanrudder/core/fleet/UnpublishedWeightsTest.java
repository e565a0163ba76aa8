package org.rattanrudder.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.rattanrudder.core.topics.TestPositions.position;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.rollout.ClaimedVersions;
import org.rattanrudder.core.rollout.DesiredVersions;

/** Targets that are said to serve weights which no operator has published. */
class UnpublishedWeightsTest {
    private static final long PUBLISHED = 3;
    private static final long NOW = 10;

    private long now = NOW;
    private final DesiredVersions versions = new DesiredVersions();
    private final ClaimedVersions claims = new ClaimedVersions(versions, () -> now);
    private final Fleet fleet = new Fleet(claims);

    @BeforeEach
    void publish() {
        versions.add("m", PUBLISHED, 0);
        register(2, 1);
    }

    private void register(long weights, long offset) {
        TargetRegistration registration = new TargetRegistration(
                "i-1", 1, "llm", new Address("10.0.0.1", 80), "north", 8, false, Map.of("m", weights));
        fleet.apply("i-1", Optional.of(registration), position(offset), 0);
    }

    private Target target() {
        return fleet.find("i-1").orElseThrow();
    }

    /** Guards against an engine that is never ordered again, and whose requests it rejects, for one wrong response. */
    @ParameterizedTest
    @ValueSource(longs = {PUBLISHED + 1, 99, Long.MAX_VALUE})
    void aResponseWithWeightsThatNobodyHasPublishedChangesNothing(long version) {
        target().confirmWeights("m", version, NOW);
        versions.onReadToEnd(NOW + 1);

        assertThat(target().weights("m")).isEqualTo(2);
        assertThat(target().weightsConfirmedSince(0)).isEmpty();
    }

    /** Guards against the same by what a peer has seen. */
    @Test
    void aReportOfWeightsThatNobodyHasPublishedChangesNothing() {
        fleet.applyLoadReport(
                TestReports.ofServed(List.of(new LoadReport.ServedWeights("i-1", 1, "m", Long.MAX_VALUE))), NOW);
        versions.onReadToEnd(NOW + 1);

        assertThat(target().weights("m")).isEqualTo(2);
    }

    /** Guards against an entry of another writer that gets all requests, and that no order ever corrects. */
    @Test
    void anEntryWithWeightsThatNobodyHasPublishedIsBehind() {
        register(99, 2);
        versions.onReadToEnd(NOW + 1);

        assertThat(target().weights("m")).isZero();
        assertThat(target().serves("m")).isTrue();
    }

    /** Guards against weights that are seen before their version is read, and forgotten. */
    @Test
    void weightsCountOnceTheirVersionIsKnown() {
        target().confirmWeights("m", PUBLISHED + 1, 10);

        versions.add("m", PUBLISHED + 1, 20);

        assertThat(target().weights("m")).isEqualTo(PUBLISHED + 1);
    }

    /** Guards against a relay that is cut off from the store, and takes no news of weights from its peers. */
    @Test
    void weightsCountOnceAPeerKnowsTheirVersion() {
        versions.onKnownAtPeer("m", PUBLISHED + 1);
        target().confirmWeights("m", PUBLISHED + 1, 10);

        assertThat(target().weights("m")).isEqualTo(PUBLISHED + 1);
        assertThat(versions.newest("m")).isEqualTo(PUBLISHED);
    }

    /** Guards against an order back to older weights, and a target left unused, while a version is unread. */
    @ParameterizedTest
    @ValueSource(longs = {0, NOW - 1, NOW})
    void weightsCountUntilALaterReadShowsThatNobodyHasPublishedThem(long askedAt) {
        register(PUBLISHED + 1, 2);
        versions.onReadToEnd(askedAt);

        assertThat(target().weights("m")).isEqualTo(PUBLISHED + 1);
    }

    /** Guards against the same where targets are read before the first version of their weights. */
    @Test
    void weightsClaimedBeforeAnyVersionWasReadCountUntilALaterRead() {
        TargetRegistration registration = new TargetRegistration(
                "i-2", 1, "llm", new Address("10.0.0.2", 80), "north", 8, false, Map.of("n", 5L));
        fleet.apply("i-2", Optional.of(registration), position(2), 0);
        Target target = fleet.find("i-2").orElseThrow();

        versions.add("n", 4, NOW);
        versions.onReadToEnd(NOW);
        assertThat(target.weights("n")).isEqualTo(5);

        versions.onReadToEnd(NOW + 1);
        assertThat(target.weights("n")).isZero();
    }

    /** Guards against an odd entry that is taken for true again each time that it is written. */
    @Test
    void weightsThatNobodyHasPublishedStayUnknownUntilTheyArePublished() {
        register(99, 2);
        versions.onReadToEnd(NOW + 1);
        register(99, 3);
        target().confirmWeights("m", 99, NOW);
        assertThat(target().weights("m")).isZero();

        versions.add("m", 99, NOW + 2);

        assertThat(target().weights("m")).isEqualTo(99);
    }

    /** Guards against a wrong response that hides which weights a target serves. */
    @Test
    void weightsThatNobodyHasPublishedHideNoUnreadOnes() {
        target().confirmWeights("m", 99, now);
        versions.onReadToEnd(now + 1);
        now += 2;

        target().confirmWeights("m", PUBLISHED + 1, now);
        target().confirmWeights("m", 99, now);

        assertThat(target().weights("m")).isEqualTo(PUBLISHED + 1);
    }

    /** Guards against a read of the store for each response that names unpublished weights. */
    @Test
    void unreadVersionsAreAskedForOnceASecond() {
        AtomicInteger reads = new AtomicInteger();
        claims.setRead(reads::incrementAndGet);

        LongStream.range(50, 60).forEach(version -> target().confirmWeights("m", version, NOW));

        assertThat(reads).hasValue(1);
    }

    @Test
    void withoutAPublishedVersionWhatTargetsSayCounts() {
        target().confirmWeights("other", 7, 10);

        assertThat(target().weights("other")).isEqualTo(7);
    }
}
