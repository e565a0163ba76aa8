package org.rattanrudder.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.rattanrudder.core.topics.TestPositions.position;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.rattanrudder.core.fleet.LoadReport.LeavingTarget;
import org.rattanrudder.core.model.Address;

/** What targets say of themselves, against records and responses that are older or come again. */
class TargetNoticesTest {
    private static final long NOW = 1_000_000;
    private static final long STARTED = 5_000;
    private static final String ID = "i-1";
    private static final String SERVICE = "llm";

    private final Fleet fleet = new Fleet();

    @BeforeEach
    void register() {
        fleet.onLogAvailable(0);
        apply(fleet, STARTED, false, 4);
    }

    private static void apply(Fleet fleet, long startedAt, boolean draining, long offset) {
        TargetRegistration registration = new TargetRegistration(
                ID, startedAt, SERVICE, new Address("10.0.0.1", 80), "north", 8, draining, Map.of("m", 1L));
        fleet.apply(ID, Optional.of(registration), position(offset), NOW);
    }

    private Target target() {
        return fleet.find(ID).orElseThrow();
    }

    private static SelfReport report(RestNotice rest, boolean leaving) {
        return new SelfReport(Optional.empty(), OptionalLong.empty(), new RateLimitNotice.NotLimited(), rest, leaving);
    }

    private void responseSays(RestNotice rest, boolean leaving, long sentAt, long receivedAt) {
        target().recordSelfReport(report(rest, leaving), true, sentAt, receivedAt);
    }

    static Stream<Named<BiConsumer<Fleet, Target>>> waysToSeemToStay() {
        return Stream.of(
                Named.of("its record says ready", (fleet, target) -> apply(fleet, STARTED, false, 5)),
                Named.of("its record is read again", (fleet, target) -> apply(fleet, STARTED, false, 4)),
                Named.of("its record is removed and comes back", (fleet, target) -> {
                    fleet.apply(ID, Optional.empty(), position(5), NOW);
                    apply(fleet, STARTED, false, 6);
                }),
                Named.of("it is missing from a listing and comes back", (fleet, target) -> {
                    fleet.applyListing(Set.of(), position(9), NOW);
                    apply(fleet, STARTED, false, 9);
                }),
                Named.of(
                        "a response that was under way doesn't say so",
                        (fleet, target) -> target.recordSelfReport(
                                report(new RestNotice.NotAsked(), false), true, NOW - 500, NOW + 1)),
                Named.of("a request is answered", (fleet, target) -> target.recordSuccess(0, NOW + 1)));
    }

    /** Guards against a store, a late read or an older response that says that a target stays which leaves. */
    @ParameterizedTest
    @MethodSource("waysToSeemToStay")
    void nothingTakesALeavingBack(BiConsumer<Fleet, Target> way) {
        responseSays(new RestNotice.NotAsked(), true, NOW, NOW);

        way.accept(fleet, target());

        assertThat(fleet.usableTargets(SERVICE, NOW + 1)).isEmpty();
        assertThat(fleet.activeTargets(SERVICE, NOW + 1)).isEmpty();
    }

    @Test
    void aLaterIncarnationStays() {
        responseSays(new RestNotice.NotAsked(), true, NOW, NOW);

        apply(fleet, STARTED + 1, false, 5);

        assertThat(fleet.usableTargets(SERVICE, NOW)).extracting(Target::id).isEqualTo(List.of(ID));
    }

    /** Guards against a record of the platform's store that says again that a target is ready which drains. */
    @Test
    void aDrainingRecordIsNotTakenBackByALaterOne() {
        apply(fleet, STARTED, true, 5);
        apply(fleet, STARTED, false, 6);

        assertThat(fleet.usableTargets(SERVICE, NOW)).isEmpty();
    }

    private static LoadReport reportOfPeer(LeavingTarget... leaving) {
        return TestReports.of(List.of(leaving), List.of());
    }

    /** Guards against a relay that the store turns away, which would hear seconds later that a target drains. */
    @Test
    void aRelayWithoutTheStoreHearsOfALeavingFromAPeer() {
        Fleet peer = new Fleet();
        peer.onLogAvailable(0);
        apply(peer, STARTED, true, 5);
        fleet.onLogUnavailable();

        fleet.applyLoadReport(reportOfPeer(peer.leavingTargets(NOW).toArray(LeavingTarget[]::new)), NOW);

        assertThat(fleet.usableTargets(SERVICE, NOW)).isEmpty();
        apply(fleet, STARTED, false, 6);
        assertThat(fleet.usableTargets(SERVICE, NOW)).isEmpty();
    }

    /** Guards against an old report that takes a target away which has started again since. */
    @Test
    void aReportOfAnEarlierIncarnationSaysNothingOfTheKnownOne() {
        fleet.applyLoadReport(reportOfPeer(new LeavingTarget(ID, STARTED - 1)), NOW);

        assertThat(fleet.usableTargets(SERVICE, NOW)).hasSize(1);
        assertThat(fleet.leavingTargets(NOW)).isEmpty();
    }

    @Test
    void aReportThatComesBeforeTheRecordHoldsOnceThatIsRead() {
        fleet.applyLoadReport(reportOfPeer(new LeavingTarget(ID, STARTED + 1)), NOW);
        assertThat(fleet.usableTargets(SERVICE, NOW)).hasSize(1);

        apply(fleet, STARTED + 1, false, 5);

        assertThat(fleet.usableTargets(SERVICE, NOW)).isEmpty();
    }
}
