package org.rattanrudder.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.topics.LogPosition;

/** Targets whose log comes back from an older copy: the first era is 1, the second 2. */
class ReturnedLogTest {
    private static final long BORN = 5_000;
    private static final long RETURNED = 100_000;
    private static final long SETTLED = RETURNED + Fleet.LOG_RECOVERY_GRACE_MILLIS;

    private final Fleet fleet = new Fleet();

    private static LogPosition old(long offset) {
        return new LogPosition(1, offset);
    }

    private static LogPosition returned(long offset) {
        return new LogPosition(2, offset);
    }

    private static Optional<TargetRegistration> registration(String id, long startedAt, boolean draining) {
        return Optional.of(new TargetRegistration(
                id, startedAt, "llm", new Address("10.0.0.1", 80), "north", 4, draining, Map.of("m", 1L)));
    }

    @BeforeEach
    void listBothTargets() {
        fleet.apply("a", registration("a", BORN, false), old(40), 0);
        fleet.apply("b", registration("b", BORN, false), old(41), 0);
        fleet.applyListing(Set.of("a", "b"), old(42), 0);
    }

    private void returnLog() {
        fleet.onLogReturned();
        fleet.onLogAvailable(RETURNED);
    }

    private List<String> usable(long now) {
        return fleet.activeTargets("llm", now).stream().map(Target::id).sorted().toList();
    }

    /** Guards against a target that is used on since its removal has a lower offset than its registration had. */
    @Test
    void aRemovalAtALowerOffsetOfALaterEraIsBelieved() {
        returnLog();
        fleet.applyListing(Set.of("a", "b"), returned(30), RETURNED);

        fleet.apply("a", Optional.empty(), returned(30), RETURNED);

        assertThat(usable(SETTLED)).containsExactly("b");
    }

    /** Guards against targets that are given up at once since the copy lacks what they had registered. */
    @Test
    void aTargetThatTheCopyLacksIsKeptUntilItHasHadTimeToRegister() {
        returnLog();
        fleet.applyListing(Set.of(), returned(3), RETURNED);
        fleet.apply("a", registration("a", BORN, false), returned(3), RETURNED + 1_000);

        assertThat(usable(SETTLED - 1)).containsExactly("a", "b");
        assertThat(usable(SETTLED)).containsExactly("a");
    }

    /** Guards against requests to a target that drains, of which the copy says that it is ready. */
    @Test
    void aDrainIsNotTakenBackByACopy() {
        fleet.apply("a", registration("a", BORN, true), old(42), 0);
        returnLog();

        fleet.apply("a", registration("a", BORN, false), returned(10), RETURNED);

        assertThat(usable(RETURNED)).containsExactly("b");
    }

    /** Guards against requests to a target that has gone, which the copy holds still. */
    @ParameterizedTest
    @ValueSource(longs = {TargetRegistration.START_UNKNOWN, BORN})
    void aTargetThatHasGoneIsNotBackByACopyButByItsOwnWord(long startedAt) {
        fleet.apply("c", registration("c", startedAt, false), old(42), 0);
        fleet.apply("c", Optional.empty(), old(43), 10);
        returnLog();
        fleet.apply("c", registration("c", startedAt, false), returned(20), RETURNED);
        fleet.applyListing(Set.of("a", "b", "c"), returned(21), RETURNED);
        assertThat(usable(SETTLED)).doesNotContain("c");

        fleet.apply("c", registration("c", startedAt, false), returned(21), SETTLED);

        assertThat(usable(SETTLED)).contains("c");
    }

    /** Guards against a target that isn't believed since it had gone once, longer ago than any copy is old. */
    @Test
    void aTargetThatHasGoneLongAgoIsBackByACopy() {
        fleet.apply("a", Optional.empty(), old(43), 10);
        fleet.onLogReturned();
        long later = 10 + RemovedStarts.KEPT_MILLIS + 1;
        fleet.onLogAvailable(later);

        fleet.apply("a", registration("a", BORN, false), returned(20), later);

        assertThat(usable(later)).contains("a");
    }

    /** Guards against a new start that isn't believed since an earlier one has gone. */
    @Test
    void aLaterStartIsBelievedInACopy() {
        fleet.apply("a", Optional.empty(), old(43), 10);
        returnLog();

        fleet.apply("a", registration("a", BORN + 1, false), returned(20), RETURNED);

        assertThat(usable(SETTLED)).contains("a");
    }

    /** Guards against requests to a target that has gone, which the first copy of a log holds still. */
    @Test
    void aTargetThatHasGoneIsNotBackByTheFirstCopyOfALog() {
        Fleet first = new Fleet();
        first.apply("c", registration("c", BORN, false), new LogPosition(0, 40), 0);
        first.applyListing(Set.of("c"), new LogPosition(0, 41), 0);
        first.apply("c", Optional.empty(), new LogPosition(0, 41), 10);
        first.onLogReturned();
        first.onLogAvailable(RETURNED);

        first.apply("c", registration("c", BORN, false), new LogPosition(1, 40), RETURNED);

        assertThat(first.activeTargets("llm", SETTLED)).isEmpty();
    }
}
