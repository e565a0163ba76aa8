package org.rattanrudder.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.rattanrudder.core.topics.TestPositions.position;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.model.Address;

class FleetTest {
    private static final long START = 100_000;
    private static final long SETTLED = START + Fleet.LOG_RECOVERY_GRACE_MILLIS;

    private final Fleet fleet = new Fleet();

    @Test
    void drainingTargetGetsNoNewRequests() {
        fleet.onLogAvailable(START);
        fleet.apply("i-1", Optional.of(registration("i-1", false)), position(1), SETTLED);
        fleet.apply("i-1", Optional.of(registration("i-1", true)), position(2), SETTLED);

        assertThat(fleet.activeTargets("llm", SETTLED)).isEmpty();
        assertThat(fleet.find("i-1")).isPresent();
    }

    /**
     * After losing its history, the log returns state from seconds ago. A target that has been draining meanwhile would
     * look ready again and get requests after it has shut down.
     */
    @Test
    void olderRecordIsIgnored() {
        fleet.onLogAvailable(START);
        fleet.apply("i-1", Optional.of(registration("i-1", true)), position(9), SETTLED);

        assertThat(fleet.apply("i-1", Optional.of(registration("i-1", false)), position(8), SETTLED))
                .isFalse();
        assertThat(fleet.activeTargets("llm", SETTLED)).isEmpty();
    }

    /**
     * An outage of the log outlasts the lifetime of all registrations. On its recovery the relay would have no targets
     * and reject all requests until each target has registered again.
     */
    @Test
    void registrationExpiredDuringLogOutageIsKeptForGracePeriod() {
        fleet.onLogAvailable(START);
        fleet.apply("i-1", Optional.of(registration("i-1", false)), position(1), SETTLED);
        fleet.onLogUnavailable();
        long recovered = SETTLED + 20_000;
        fleet.onLogAvailable(recovered);
        fleet.apply("i-1", Optional.empty(), position(2), recovered + 10);

        assertThat(fleet.activeTargets("llm", recovered + 100)).hasSize(1);
        assertThat(fleet.activeTargets("llm", recovered + Fleet.LOG_RECOVERY_GRACE_MILLIS + 11))
                .isEmpty();
    }

    /** Guards against a target that is known again by each rewrite of an entry at whose address another responds. */
    @Test
    void aReplacedTargetIsKnownAgainByAnotherRegistrationOrLater() {
        fleet.onLogAvailable(START);
        fleet.apply("i-1", Optional.of(registration("i-1", false)), position(1), SETTLED);
        fleet.removeReplaced("i-1", SETTLED);

        fleet.apply("i-1", Optional.of(registration("i-1", false)), position(2), SETTLED + 1_000);
        assertThat(fleet.find("i-1")).isEmpty();
        fleet.apply("i-1", Optional.of(registration("i-1", true)), position(3), SETTLED + 2_000);
        assertThat(fleet.find("i-1")).isPresent();

        fleet.removeReplaced("i-1", SETTLED + 3_000);
        fleet.apply(
                "i-1", Optional.of(registration("i-1", true)), position(4), SETTLED + 3_000 + Fleet.REPLACED_MILLIS);
        assertThat(fleet.find("i-1")).isPresent();
    }

    /** Guards against a sound record that isn't taken since another writer's stood in its place. */
    @Test
    void aTargetWhoseRecordWasUnreadableIsKnownAgainAtOnce() {
        fleet.onLogAvailable(START);
        fleet.apply("i-1", Optional.of(registration("i-1", false)), position(1), SETTLED);
        fleet.onUnreadableRecord("i-1", position(2), SETTLED);
        assertThat(fleet.find("i-1")).isEmpty();

        fleet.apply("i-1", Optional.of(registration("i-1", false)), position(3), SETTLED);
        assertThat(fleet.find("i-1")).isPresent();
    }

    private static LoadReport reportOf(Fleet peer, long nowMillis) {
        return TestReports.of(List.of(), peer.removedTargets(nowMillis));
    }

    private static Fleet withTarget() {
        Fleet made = new Fleet();
        made.onLogAvailable(START);
        made.apply("i-1", Optional.of(registration("i-1", false)), position(1), SETTLED);
        return made;
    }

    /** Guards against a relay that was cut off from the log alone, and takes a removal for one of an outage. */
    @Test
    void removalHeldBackAfterAnOwnLossIsAppliedOnceAPeerHasAppliedIt() {
        Fleet cutOff = withTarget();
        Fleet peer = withTarget();
        cutOff.onLogUnavailable();
        long regained = SETTLED + 3_000;
        cutOff.onLogAvailable(regained);
        peer.apply("i-1", Optional.empty(), position(2), regained);
        cutOff.apply("i-1", Optional.empty(), position(2), regained);
        assertThat(cutOff.activeTargets("llm", regained)).hasSize(1);

        cutOff.applyLoadReport(reportOf(peer, regained + 100), regained + 100);

        assertThat(cutOff.activeTargets("llm", regained + 100)).isEmpty();
    }

    /** Guards against a target that has registered again, and is removed by a report of what was before. */
    @Test
    void aReportedRemovalThatIsOlderThanTheRegistrationChangesNothing() {
        Fleet peer = withTarget();
        peer.apply("i-1", Optional.empty(), position(2), SETTLED);
        Fleet cutOff = withTarget();
        cutOff.onLogUnavailable();
        cutOff.onLogAvailable(SETTLED);
        cutOff.apply("i-1", Optional.empty(), position(2), SETTLED);
        cutOff.apply("i-1", Optional.of(registration("i-1", false)), position(3), SETTLED);

        cutOff.applyLoadReport(reportOf(peer, SETTLED + 100), SETTLED + 100);

        assertThat(cutOff.activeTargets("llm", SETTLED + 100)).hasSize(1);
    }

    /** Guards against relays that all have seen an outage, and confirm each other removals that it caused. */
    @Test
    void removalsThatAreHeldBackAreNotReported() {
        Fleet peer = withTarget();
        peer.onLogUnavailable();
        peer.onLogAvailable(SETTLED);
        peer.apply("i-1", Optional.empty(), position(2), SETTLED);

        assertThat(peer.removedTargets(SETTLED + 100)).isEmpty();
        assertThat(peer.activeTargets("llm", SETTLED + Fleet.LOG_RECOVERY_GRACE_MILLIS))
                .isEmpty();
        assertThat(peer.removedTargets(SETTLED + Fleet.LOG_RECOVERY_GRACE_MILLIS))
                .isEmpty();
    }

    /**
     * Removals are delayed for 2.5 s after the log recovers from an outage. When the first response after a relay's
     * start counted as such a recovery, prompts were sent to a target 2.4 s after its removal, 0.4 s later than
     * allowed.
     */
    @Test
    void removalShortlyAfterStartIsAppliedAtOnce() {
        long drainMillis = 2_000;
        fleet.onLogAvailable(START);
        fleet.apply("i-1", Optional.of(registration("i-1", false)), position(6), START + 10);
        fleet.applyListing(Set.of("i-1"), position(7), START + 10);
        long removed = START + 400;
        fleet.apply("i-1", Optional.empty(), position(12), removed);

        assertThat(fleet.activeTargets("llm", removed + drainMillis)).isEmpty();
    }

    @Test
    void registrationRenewedWithinGracePeriodIsKept() {
        fleet.onLogAvailable(START);
        fleet.apply("i-1", Optional.of(registration("i-1", false)), position(1), SETTLED);
        fleet.onLogUnavailable();
        long recovered = SETTLED + 20_000;
        fleet.onLogAvailable(recovered);
        fleet.apply("i-1", Optional.empty(), position(2), recovered + 10);
        fleet.apply("i-1", Optional.of(registration("i-1", false)), position(3), recovered + 900);

        assertThat(fleet.activeTargets("llm", recovered + 60_000)).hasSize(1);
    }

    @Test
    void targetMissingFromListingIsRemovedUnlessNewer() {
        fleet.onLogAvailable(START);
        fleet.apply("i-1", Optional.of(registration("i-1", false)), position(1), SETTLED);
        fleet.apply("i-2", Optional.of(registration("i-2", false)), position(7), SETTLED);

        fleet.applyListing(Set.of(), position(5), SETTLED);

        assertThat(fleet.activeTargets("llm", SETTLED)).extracting(Target::id).containsExactly("i-2");
    }

    /**
     * A relay's own link is cut. If it reported all engines as unreachable, 26 peers would dial each of them at once,
     * ten times a second.
     */
    @ParameterizedTest
    @CsvSource({"0, 0", "1, 1", "2, 2", "3, 0", "4, 0"})
    void relayThatReachesFewTargetsReportsNoneUnreachable(int unreachable, int reported) {
        Fleet fleet = new Fleet();
        fleet.onLogAvailable(0);
        for (int index = 0; index < 4; index++) {
            String id = "i-" + index;
            fleet.apply(id, Optional.of(registration(id, false)), position(index), 1_000);
            Target target = fleet.find(id).orElseThrow();
            target.onDialStarted(1_000);
            target.onDialFinished(index >= unreachable, 1_400);
        }

        assertThat(fleet.unreachableTargets(1_400)).hasSize(reported);
    }

    static TargetRegistration registration(String id, boolean draining) {
        return new TargetRegistration(
                id,
                TargetRegistration.START_UNKNOWN,
                "llm",
                new Address("10.0.0.1", 80),
                "north",
                8,
                draining,
                Map.of("m", 1L));
    }
}
