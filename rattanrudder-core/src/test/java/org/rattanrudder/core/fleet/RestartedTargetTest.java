package org.rattanrudder.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.rattanrudder.core.topics.TestPositions.position;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.continuation.StreamOrigin;
import org.rattanrudder.core.fleet.LoadReport.ServedWeights;
import org.rattanrudder.core.model.Address;

/** Targets that restart under the same id. */
class RestartedTargetTest {
    private static final long NOW = 1_000_000;
    private static final String ID = "i-1";
    private static final StreamOrigin SOFTWARE = new StreamOrigin("llm", "v1");

    private final Fleet fleet = new Fleet();

    /** A registration as written to the log. */
    private record LogRecord(long startedAt, long offset, boolean draining) {
        TargetRegistration registration() {
            return RestartedTargetTest.registration(startedAt, draining);
        }
    }

    private static TargetRegistration registration(long startedAt, boolean draining) {
        return new TargetRegistration(
                ID,
                startedAt,
                "llm",
                new Address("10.0.0.1", 80),
                "north",
                8,
                draining,
                Map.of("m", 1L),
                OptionalLong.empty(),
                Optional.of("v1"));
    }

    /**
     * A server has drained and restarted. Records of its earlier start are written late, after those of the new one:
     * relays that applied them would send the server no requests for good, or send requests to a process that has
     * stopped.
     */
    @Test
    void lateRecordOfEarlierStartIsIgnored() {
        fleet.onLogAvailable(0);
        fleet.apply(ID, Optional.of(registration(7_000, false)), position(4), NOW);

        assertThat(fleet.apply(ID, Optional.of(registration(5_000, true)), position(5), NOW))
                .isFalse();
        assertThat(fleet.activeTargets("llm", NOW)).hasSize(1);
    }

    /** Outcomes and load from before a server's crash must not affect the restarted one. */
    @Test
    void restartedTargetKeepsNoState() {
        fleet.onLogAvailable(0);
        fleet.apply(ID, Optional.of(registration(5_000, false)), position(4), NOW);
        Target before = fleet.find(ID).orElseThrow();
        before.onSent(new Target.RequestCost(5_000, 5_000), NOW);
        before.recordFailure(3_000, NOW);
        before.markLoadingWeights(NOW + 60_000);

        fleet.apply(ID, Optional.of(registration(7_000, false)), position(5), NOW);

        Target after = fleet.find(ID).orElseThrow();
        assertThat(after).isNotSameAs(before);
        assertThat(after.inFlight()).isZero();
        assertThat(after.isLoadingWeights(NOW)).isFalse();
        before.onEnded(new Target.RequestCost(5_000, 5_000), false);
        assertThat(after.inFlight()).isZero();
    }

    /** Guards against new weights that a peer has seen before a restart, taken for those of the process after it. */
    @Test
    void weightsThatAPeerSawBeforeTheRestartAreIgnored() {
        fleet.onLogAvailable(0);
        fleet.apply(ID, Optional.of(registration(5_000, false)), position(4), NOW);
        fleet.find(ID).orElseThrow().confirmWeights("m", 2, NOW);
        List<ServedWeights> seenBefore = fleet.find(ID).orElseThrow().weightsConfirmedSince(NOW);
        fleet.apply(ID, Optional.of(registration(7_000, false)), position(5), NOW);

        fleet.applyLoadReport(TestReports.ofServed(seenBefore), NOW);
        assertThat(fleet.find(ID).orElseThrow().weights("m")).isEqualTo(1);

        fleet.find(ID).orElseThrow().confirmWeights("m", 3, NOW);
        List<ServedWeights> seenAfter = fleet.find(ID).orElseThrow().weightsConfirmedSince(NOW);
        fleet.applyLoadReport(TestReports.ofServed(seenAfter), NOW);
        assertThat(fleet.find(ID).orElseThrow().weights("m")).isEqualTo(3);
    }

    /** Guards against streams of a process that started again under its ID, taken for those of the one registered. */
    @ParameterizedTest
    @CsvSource({"5000, 2499, false", "5000, 2500, true", "0, 0, true"})
    void theSoftwareOfATargetThatMayHaveEndedIsKnownOnceItWouldHaveRegisteredAgain(
            long startedAt, long later, boolean known) {
        fleet.onLogAvailable(0);
        fleet.apply(ID, Optional.of(registration(startedAt, false)), position(4), NOW);
        Target target = fleet.find(ID).orElseThrow();
        assertThat(target.software()).contains(SOFTWARE);

        target.onMayHaveEnded(NOW);
        fleet.onReadToEnd(NOW + later);

        assertThat(target.software().isPresent()).isEqualTo(known);
    }

    /** Guards against an answer that was handled after a pause of this relay and shows the log of before it. */
    @Test
    void whatWasAskedBeforeAPauseShowsNoRegistrationThatWasWrittenInIt() {
        fleet.onLogAvailable(0);
        fleet.apply(ID, Optional.of(registration(5_000, false)), position(4), NOW);
        Target target = fleet.find(ID).orElseThrow();
        target.onMayHaveEnded(NOW);

        fleet.onLogAvailable(NOW + 60_000);
        fleet.onReadToEnd(NOW + 2_499);
        assertThat(target.software()).isEmpty();

        fleet.onReadToEnd(NOW + 60_000);
        assertThat(target.software()).contains(SOFTWARE);
    }

    /** Guards against the same while the log is away, where its new registration can't be read. */
    @Test
    void theSoftwareOfATargetThatMayHaveEndedIsNotKnownWhileTheLogIsAway() {
        fleet.apply(ID, Optional.of(registration(5_000, false)), position(4), NOW);
        Target target = fleet.find(ID).orElseThrow();
        fleet.onLogUnavailable();
        assertThat(target.software()).contains(SOFTWARE);

        target.onMayHaveEnded(NOW);
        fleet.onLogAvailable(NOW + 60_000);
        fleet.onReadToEnd(NOW + 60_000 + Fleet.LOG_RECOVERY_GRACE_MILLIS - 1);
        assertThat(target.software()).isEmpty();

        fleet.onReadToEnd(NOW + 60_000 + Fleet.LOG_RECOVERY_GRACE_MILLIS);
        assertThat(target.software()).contains(SOFTWARE);
    }

    /** A record that another writer stored under a server's key removes the server until its own next registration. */
    @Test
    void unreadableRecordRemovesOnlyItsTargetUntilNextRegistration() {
        fleet.onLogAvailable(0);
        fleet.apply(ID, Optional.of(registration(5_000, false)), position(4), NOW);
        fleet.apply("i-2", Optional.of(FleetTest.registration("i-2", false)), position(5), NOW);

        fleet.onUnreadableRecord(ID, position(6), 0);
        assertThat(fleet.activeTargets("llm", NOW)).extracting(Target::id).containsExactly("i-2");
        assertThat(fleet.apply(ID, Optional.of(registration(5_000, false)), position(4), NOW))
                .isFalse();

        fleet.apply(ID, Optional.of(registration(5_000, false)), position(7), NOW);
        assertThat(fleet.activeTargets("llm", NOW)).hasSize(2);
    }

    @Test
    void olderUnreadableRecordIsIgnored() {
        fleet.onLogAvailable(0);
        fleet.apply(ID, Optional.of(registration(5_000, false)), position(4), NOW);

        fleet.onUnreadableRecord(ID, position(3), 0);

        assertThat(fleet.activeTargets("llm", NOW)).hasSize(1);
    }

    /**
     * In whatever order the records of several starts are read, even repeatedly, relays end up with the last one of the
     * newest start.
     */
    @Property(tries = 500)
    void newestRegistrationOfNewestStartWinsInAnyOrder(@ForAll("recordsInAnyOrder") List<LogRecord> records) {
        Fleet relay = new Fleet();
        relay.onLogAvailable(0);
        records.forEach(record -> relay.apply(ID, Optional.of(record.registration()), position(record.offset()), NOW));
        LogRecord last = records.stream()
                .max(Comparator.comparingLong(LogRecord::startedAt).thenComparingLong(LogRecord::offset))
                .orElseThrow();

        assertThat(relay.find(ID).orElseThrow().registration()).isEqualTo(last.registration());
    }

    @Provide
    Arbitrary<List<LogRecord>> recordsInAnyOrder() {
        Arbitrary<Long> starts = Arbitraries.longs().between(1, 4);
        return Combinators.combine(starts, Arbitraries.of(true, false))
                .as((start, draining) -> new LogRecord(start, 0, draining))
                .list()
                .ofMinSize(1)
                .ofMaxSize(8)
                .map(RestartedTargetTest::atOffsets)
                .flatMap(log -> Arbitraries.of(log).list().ofMinSize(1).ofMaxSize(16));
    }

    private static List<LogRecord> atOffsets(List<LogRecord> log) {
        return java.util.stream.IntStream.range(0, log.size())
                .mapToObj(offset -> new LogRecord(
                        log.get(offset).startedAt(), offset, log.get(offset).draining()))
                .toList();
    }
}
