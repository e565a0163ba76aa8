package org.rattanrudder.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.rollout.DesiredVersions;

/** Targets that are said to serve weights which no operator has published. */
class UnpublishedWeightsTest {
    private static final long PUBLISHED = 3;

    private final DesiredVersions versions = new DesiredVersions();
    private final Fleet fleet = new Fleet(versions::newestServable);

    @BeforeEach
    void publish() {
        versions.add("m", PUBLISHED, 0);
        register(2, 1);
    }

    private void register(long weights, long offset) {
        TargetRegistration registration = new TargetRegistration(
                "i-1", 1, "llm", new Address("10.0.0.1", 80), "north", 8, false, Map.of("m", weights));
        fleet.apply("i-1", Optional.of(registration), offset, 0);
    }

    private Target target() {
        return fleet.find("i-1").orElseThrow();
    }

    /** Guards against an engine that is never ordered again, and whose requests it rejects, for one wrong response. */
    @ParameterizedTest
    @ValueSource(longs = {PUBLISHED + 1, 99, Long.MAX_VALUE})
    void aResponseWithWeightsThatNobodyHasPublishedChangesNothing(long version) {
        target().confirmWeights("m", version, 10);

        assertThat(target().weights("m")).isEqualTo(2);
        assertThat(target().weightsConfirmedSince(0)).isEmpty();
    }

    /** Guards against the same by what a peer has seen. */
    @Test
    void aReportOfWeightsThatNobodyHasPublishedChangesNothing() {
        fleet.applyLoadReport(
                TestReports.ofServed(List.of(new LoadReport.ServedWeights("i-1", 1, "m", Long.MAX_VALUE))), 10);

        assertThat(target().weights("m")).isEqualTo(2);
    }

    /** Guards against an entry of another writer that gets all requests, and that no order ever corrects. */
    @Test
    void anEntryWithWeightsThatNobodyHasPublishedIsBehind() {
        register(99, 2);

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

    @Test
    void withoutAPublishedVersionWhatTargetsSayCounts() {
        target().confirmWeights("other", 7, 10);

        assertThat(target().weights("other")).isEqualTo(7);
    }
}
