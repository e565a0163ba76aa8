package org.rattanrudder.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.model.Address;

class FleetTest {
    private static final long START = 100_000;
    private static final long SETTLED = START + Fleet.RETURN_GRACE_MILLIS;

    private final Fleet fleet = new Fleet();

    @Test
    void aDrainingTargetTakesNoNewWork() {
        fleet.onLogAvailable(START);
        fleet.apply("i-1", Optional.of(entry("i-1", false)), 1, SETTLED);
        fleet.apply("i-1", Optional.of(entry("i-1", true)), 2, SETTLED);

        assertThat(fleet.activeTargets("llm", SETTLED)).isEmpty();
        assertThat(fleet.find("i-1")).isPresent();
    }

    /**
     * The log forgets its history and shows readers a state of seconds ago. A target that drained meanwhile would look
     * ready again, and requests would reach it after it has left.
     */
    @Test
    void anOlderRecordIsNotBelieved() {
        fleet.onLogAvailable(START);
        fleet.apply("i-1", Optional.of(entry("i-1", true)), 9, SETTLED);

        assertThat(fleet.apply("i-1", Optional.of(entry("i-1", false)), 8, SETTLED))
                .isFalse();
        assertThat(fleet.activeTargets("llm", SETTLED)).isEmpty();
    }

    /**
     * The log is down for longer than entries live, so all of them lapse. On its return the relay would find no target,
     * and refuse everybody until each target has registered again.
     */
    @Test
    void anEntryThatLapsedWhileTheLogWasAwayIsKeptForAWhile() {
        fleet.onLogAvailable(START);
        fleet.apply("i-1", Optional.of(entry("i-1", false)), 1, SETTLED);
        fleet.onLogUnavailable();
        long returned = SETTLED + 20_000;
        fleet.onLogAvailable(returned);
        fleet.apply("i-1", Optional.empty(), 2, returned + 10);

        assertThat(fleet.activeTargets("llm", returned + 100)).hasSize(1);
        assertThat(fleet.activeTargets("llm", returned + Fleet.RETURN_GRACE_MILLIS + 11))
                .isEmpty();
    }

    /**
     * A relay starts, lists the targets, and 0.4 s later the log says that one of them was removed: it left without
     * having reported that it drains. Prompts still go to it 2.4 s after its removal, 0.4 s later than allowed.
     * The first answer that a relay gets from the log counts as the log's return from an outage, after which removals
     * are held back for 2.5 s; but the log was never away.
     */
    @Test
    void aRemovalShortlyAfterTheStartIsBelievedInTime() {
        long drainMillis = 2_000;
        fleet.onLogAvailable(START);
        fleet.apply("i-1", Optional.of(entry("i-1", false)), 6, START + 10);
        fleet.applyListing(Set.of("i-1"), 7, START + 10);
        long removed = START + 400;
        fleet.apply("i-1", Optional.empty(), 12, removed);

        assertThat(fleet.activeTargets("llm", removed + drainMillis)).isEmpty();
    }

    @Test
    void anEntryThatComesBackInTimeStays() {
        fleet.onLogAvailable(START);
        fleet.apply("i-1", Optional.of(entry("i-1", false)), 1, SETTLED);
        fleet.onLogUnavailable();
        long returned = SETTLED + 20_000;
        fleet.onLogAvailable(returned);
        fleet.apply("i-1", Optional.empty(), 2, returned + 10);
        fleet.apply("i-1", Optional.of(entry("i-1", false)), 3, returned + 900);

        assertThat(fleet.activeTargets("llm", returned + 60_000)).hasSize(1);
    }

    @Test
    void aTargetThatAListingLacksIsGoneUnlessItIsNewer() {
        fleet.onLogAvailable(START);
        fleet.apply("i-1", Optional.of(entry("i-1", false)), 1, SETTLED);
        fleet.apply("i-2", Optional.of(entry("i-2", false)), 7, SETTLED);

        fleet.applyListing(Set.of(), 5, SETTLED);

        assertThat(fleet.activeTargets("llm", SETTLED)).extracting(Target::id).containsExactly("i-2");
    }

    /**
     * A relay's own cable is cut. Told by it that all engines are gone, 26 others would dial each of them at once, ten
     * times a second.
     */
    @ParameterizedTest
    @CsvSource({"0, 0", "1, 1", "2, 2", "3, 0", "4, 0"})
    void aRelayThatReachesFewTargetsSaysNothingOfThem(int lost, int told) {
        Fleet fleet = new Fleet();
        fleet.onLogAvailable(0);
        for (int index = 0; index < 4; index++) {
            String id = "i-" + index;
            fleet.apply(id, Optional.of(entry(id, false)), index, 1_000);
            Target target = fleet.find(id).orElseThrow();
            target.onDialStarted(1_000);
            target.onDialFinished(index >= lost, 1_400);
        }

        assertThat(fleet.unreachableTargets(1_400)).hasSize(told);
    }

    static TargetRegistration entry(String id, boolean draining) {
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
