package org.rattanrudder.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.model.Address;

/** Targets that start again under the id that they had. */
class RestartedTargetTest {
    private static final long NOW = 1_000_000;
    private static final String ID = "i-1";

    private final Fleet fleet = new Fleet();

    /** An entry as it stands in the log. */
    private record Written(long startedAt, long offset, boolean draining) {
        TargetRegistration entry() {
            return RestartedTargetTest.entry(startedAt, draining);
        }
    }

    private static TargetRegistration entry(long startedAt, boolean draining) {
        return new TargetRegistration(
                ID, startedAt, "llm", new Address("10.0.0.1", 80), "north", 8, draining, Map.of("m", 1L));
    }

    /**
     * A server that drained has started again. Its last words of before are written late, behind those of the new
     * start: relays that believed them would leave the server alone for good, or send to one that is gone.
     */
    @Test
    void lateWordsOfAnEarlierStartChangeNothing() {
        fleet.onLogAvailable(0);
        fleet.apply(ID, Optional.of(entry(7_000, false)), 4, NOW);

        assertThat(fleet.apply(ID, Optional.of(entry(5_000, true)), 5, NOW)).isFalse();
        assertThat(fleet.activeTargets("llm", NOW)).hasSize(1);
    }

    /** What was seen of a server before it crashed, and what it had to do, isn't held against the new start. */
    @Test
    void aTargetThatStartedAgainHasNoPast() {
        fleet.onLogAvailable(0);
        fleet.apply(ID, Optional.of(entry(5_000, false)), 4, NOW);
        Target before = fleet.find(ID).orElseThrow();
        before.onSent(new Target.RequestCost(5_000, 5_000), NOW);
        before.recordFailure(3_000, NOW);
        before.markLoadingWeights(NOW + 60_000);

        fleet.apply(ID, Optional.of(entry(7_000, false)), 5, NOW);

        Target after = fleet.find(ID).orElseThrow();
        assertThat(after).isNotSameAs(before);
        assertThat(after.inFlight()).isZero();
        assertThat(after.isLoadingWeights(NOW)).isFalse();
        before.onEnded(new Target.RequestCost(5_000, 5_000), false);
        assertThat(after.inFlight()).isZero();
    }

    /** An entry that another writer has put in a server's place names nothing; the server's next one does again. */
    @Test
    void anUnreadableRecordTakesAwayJustItsTargetUntilItsNextEntry() {
        fleet.onLogAvailable(0);
        fleet.apply(ID, Optional.of(entry(5_000, false)), 4, NOW);
        fleet.apply("i-2", Optional.of(FleetTest.entry("i-2", false)), 5, NOW);

        fleet.onUnreadableRecord(ID, 6);
        assertThat(fleet.activeTargets("llm", NOW)).extracting(Target::id).containsExactly("i-2");
        assertThat(fleet.apply(ID, Optional.of(entry(5_000, false)), 4, NOW)).isFalse();

        fleet.apply(ID, Optional.of(entry(5_000, false)), 7, NOW);
        assertThat(fleet.activeTargets("llm", NOW)).hasSize(2);
    }

    @Test
    void anUnreadableRecordThatIsOlderChangesNothing() {
        fleet.onLogAvailable(0);
        fleet.apply(ID, Optional.of(entry(5_000, false)), 4, NOW);

        fleet.onUnreadableRecord(ID, 3);

        assertThat(fleet.activeTargets("llm", NOW)).hasSize(1);
    }

    /** In whatever order entries of several starts are seen, also twice, relays end with the newest start's last. */
    @Property(tries = 500)
    void theNewestStartsLastEntryHoldsInAnyOrder(@ForAll("writtenInAnyOrder") List<Written> seen) {
        Fleet relay = new Fleet();
        relay.onLogAvailable(0);
        seen.forEach(written -> relay.apply(ID, Optional.of(written.entry()), written.offset(), NOW));
        Written last = seen.stream()
                .max(Comparator.comparingLong(Written::startedAt).thenComparingLong(Written::offset))
                .orElseThrow();

        assertThat(relay.find(ID).orElseThrow().registration()).isEqualTo(last.entry());
    }

    @Provide
    Arbitrary<List<Written>> writtenInAnyOrder() {
        Arbitrary<Long> starts = Arbitraries.longs().between(1, 4);
        return Combinators.combine(starts, Arbitraries.of(true, false))
                .as((start, draining) -> new Written(start, 0, draining))
                .list()
                .ofMinSize(1)
                .ofMaxSize(8)
                .map(RestartedTargetTest::atOffsets)
                .flatMap(log -> Arbitraries.of(log).list().ofMinSize(1).ofMaxSize(16));
    }

    private static List<Written> atOffsets(List<Written> log) {
        return java.util.stream.IntStream.range(0, log.size())
                .mapToObj(offset -> new Written(
                        log.get(offset).startedAt(), offset, log.get(offset).draining()))
                .toList();
    }
}
