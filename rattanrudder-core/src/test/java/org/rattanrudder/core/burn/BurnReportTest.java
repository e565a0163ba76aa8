package org.rattanrudder.core.burn;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomDistribution;
import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.call.Usage;
import org.rattanrudder.core.document.RequestClass;
import org.rattanrudder.core.entry.RequestSummary;
import org.rattanrudder.core.model.ErrorKind;

class BurnReportTest {
    private static final long START = 1_796_200_000_000L;
    private static final long DAY = 86_400_000;
    private static final int ENTRIES = 3;
    private static final RequestClass CHECK = new RequestClass("check", 0, 10_000, 1_500, 0.99);

    /** Compares the merged report with a list of all requests that is filtered and counted for each window. */
    @Property(seed = "41", tries = 60)
    void aMergedReportMatchesCountsOverAllRequests(@ForAll("requests") List<Sample> samples) {
        long now = end(samples);
        BurnReport report = merged(ledgers(samples), now);

        for (ClassBurn burn : report.classes()) {
            for (Window window : Window.values()) {
                List<Sample> inside = samples.stream()
                        .filter(sample -> sample.atMillis >= window.startMillis(now))
                        .toList();
                assertThat(burn.windows().get(window).good())
                        .isEqualTo(inside.stream().filter(sample -> sample.good).count());
                assertThat(burn.windows().get(window).bad())
                        .isEqualTo(
                                inside.stream().filter(sample -> !sample.good).count());
            }
            assertThat(burn.customers()).containsExactlyInAnyOrderElementsOf(customersOf(samples, now));
        }
    }

    @Property(seed = "42", tries = 60)
    void aMergedReportEqualsTheReportOfASingleLedger(@ForAll("requests") List<Sample> samples) {
        BurnLedger one = ledger("one", START);
        samples.forEach(sample -> one.record(sample.summary(), CHECK, sample.atMillis));

        assertThat(merged(ledgers(samples), end(samples)).classes())
                .isEqualTo(BurnReport.of(one.snapshot(end(samples))).classes());
    }

    @Property(seed = "43", tries = 60)
    void mergingIsAssociativeAndCommutative(@ForAll("requests") List<Sample> samples, @ForAll long shuffle) {
        List<BurnSnapshot> snapshots = snapshots(ledgers(samples), end(samples));
        BurnReport first = BurnReport.of(snapshots.get(0));
        BurnReport second = BurnReport.of(snapshots.get(1));
        BurnReport third = BurnReport.of(snapshots.get(2));
        Collections.shuffle(snapshots, new Random(shuffle));
        BurnReport shuffled = snapshots.stream().map(BurnReport::of).reduce(BurnReport.EMPTY, BurnReport::merge);

        assertThat(first.merge(second).merge(third).classes())
                .isEqualTo(first.merge(second.merge(third)).classes())
                .isEqualTo(shuffled.classes())
                .isEqualTo(shuffled.merge(second).merge(shuffled).classes());
    }

    /**
     * A load balancer may route two queries of the command to the same entry. If its failures counted twice, an
     * alert could be raised wrongly; so the report keeps only the newest snapshot of an incarnation.
     */
    @Test
    void twoSnapshotsOfOneEntryCountOnce() {
        BurnLedger ledger = ledger("e1", START);
        ledger.record(new Sample(START + 1, false, "depo-sever", 0).summary(), CHECK, START + 1);
        BurnReport early = BurnReport.of(ledger.snapshot(START + 2));
        ledger.record(new Sample(START + 3, true, "depo-sever", 0).summary(), CHECK, START + 3);
        BurnReport late = BurnReport.of(ledger.snapshot(START + 4));

        assertThat(late.merge(early).classes().get(0).windows().get(Window.HOUR))
                .isEqualTo(new WindowBurn(1, 1, 0.99));
    }

    /**
     * An entry is replaced after two hours of failures, and its counts are lost. A report that took the missing
     * counts for zero would tell the operator that all was well.
     */
    @Test
    void theLostCountsOfAReplacedEntryAreReportedAsAGap() {
        BurnLedger old = ledger("old", START);
        BurnLedger replacement = ledger("new", START + 3 * DAY);
        long now = START + 3 * DAY + 3_600_000;

        BurnReport report = BurnReport.of(old.snapshot(now)).merge(BurnReport.of(replacement.snapshot(now)));

        assertThat(report.coverage(Window.HOUR).gaps()).isEmpty();
        assertThat(report.coverage(Window.HOUR).share()).isEqualTo(1.0);
        assertThat(report.coverage(Window.SIX_HOURS).gaps())
                .containsExactly(new Coverage.Gap("new", now - 6 * 3_600_000, START + 3 * DAY));
        assertThat(report.coverage(Window.SIX_HOURS).share()).isCloseTo(7.0 / 12, within());
        assertThat(report.entriesCovering(START + 2 * DAY)).isEqualTo(1);
        assertThat(report.entriesCovering(START - DAY)).isZero();
    }

    @ParameterizedTest
    @CsvSource({
        // recent bad, recent good, old bad, old good, alerts
        "20, 80, 0, 0, FAST SLOW LASTING",
        "4, 0, 0, 0, ''",
        "8, 92, 0, 0, SLOW LASTING",
        "2, 98, 10, 90, LASTING",
        "0, 100, 50, 100, ''",
    })
    void anAlertNeedsBothItsWindowsAboveTheThreshold(int bad, int good, int oldBad, int oldGood, String alerts) {
        BurnLedger ledger = ledger("e1", START);
        long old = START + DAY;
        long now = START + 2 * DAY;
        record(ledger, oldBad, false, old);
        record(ledger, oldGood, true, old);
        record(ledger, bad, false, now);
        record(ledger, good, true, now);

        List<BurnAlert> raised =
                BurnReport.of(ledger.snapshot(now)).classes().get(0).alerts();

        assertThat(String.join(" ", raised.stream().map(BurnAlert::name).toList()))
                .isEqualTo(alerts);
    }

    @ParameterizedTest
    @CsvSource({
        "'', 1500000, 1600000, 200, GOOD",
        "'', 1500001, 1600000, 200, BAD",
        "'', 1000, 1000, 404, GOOD",
        "'', 1000, 1000, 500, BAD",
        "TARGET_FAILED, 1000, 2000, 200, BAD",
        "OVERLOADED, -1, 10, 503, BAD",
        "CUSTOMER_OVER_SHARE, -1, 10, 429, EXCLUDED",
        "CANCELLED, -1, 1400000, 499, EXCLUDED",
        "CANCELLED, -1, 1600000, 499, BAD",
        "CANCELLED, 1000, 1600000, 499, EXCLUDED",
    })
    void theOutcomeDependsOnWhoCausedTheError(
            String error, long firstByteMicros, long totalMicros, int status, ObjectiveOutcome outcome) {
        Optional<ErrorKind> kind =
                Optional.of(error).filter(name -> !name.isEmpty()).map(ErrorKind::valueOf);
        RequestSummary summary = new RequestSummary(
                "1-1", "s", "c", "check", "t", 1, firstByteMicros, totalMicros, kind, status, Usage.NONE);

        assertThat(ObjectiveOutcome.of(summary, CHECK)).isEqualTo(outcome);
    }

    @Provide
    Arbitrary<List<Sample>> requests() {
        // The times are uniformly distributed, since the generator's default preference for small numbers would leave
        // hours and slots unused. Dense samples wrap around the rings of hours while customers stay known, sparse ones
        // those of quarters.
        return Arbitraries.of(4 * DAY, DAY / 2).flatMap(BurnReportTest::requestsWithin);
    }

    private static Arbitrary<List<Sample>> requestsWithin(long span) {
        Arbitrary<Sample> sample = Combinators.combine(
                        Arbitraries.longs().between(0, span).withDistribution(RandomDistribution.uniform()),
                        Arbitraries.of(true, true, true, false),
                        Arbitraries.of("depo-sever", "depo-juh", "audit"),
                        Arbitraries.integers().between(0, ENTRIES - 1))
                .as((after, good, customer, entry) -> new Sample(START + after, good, customer, entry));
        return sample.list()
                .ofMinSize(1)
                .ofMaxSize(80)
                .map(list -> list.stream()
                        .sorted(Comparator.comparingLong(Sample::atMillis))
                        .toList());
    }

    private static List<BurnSnapshot.CustomerCounts> customersOf(List<Sample> samples, long now) {
        long from = Math.floorDiv(now, HourRing.HOUR_MILLIS) - HourRing.HOURS + 1;
        List<Sample> inside = samples.stream()
                .filter(sample -> Math.floorDiv(sample.atMillis, HourRing.HOUR_MILLIS) >= from)
                .toList();
        return inside.stream()
                .map(Sample::customer)
                .distinct()
                .map(name ->
                        new BurnSnapshot.CustomerCounts(name, count(inside, name, true), count(inside, name, false)))
                .toList();
    }

    private static long count(List<Sample> samples, String customer, boolean good) {
        return samples.stream()
                .filter(sample -> sample.customer.equals(customer) && sample.good == good)
                .count();
    }

    private static Offset<Double> within() {
        return Offset.offset(1e-9);
    }

    private static BurnLedger ledger(String name, long startMillis) {
        return new BurnLedger(name, name, "depo-sever", startMillis);
    }

    private static List<BurnLedger> ledgers(List<Sample> samples) {
        List<BurnLedger> ledgers = new ArrayList<>();
        for (int entry = 0; entry < ENTRIES; entry++) {
            ledgers.add(ledger("e" + entry, START));
        }
        samples.forEach(sample -> ledgers.get(sample.entry).record(sample.summary(), CHECK, sample.atMillis));
        return ledgers;
    }

    private static List<BurnSnapshot> snapshots(List<BurnLedger> ledgers, long nowMillis) {
        return new ArrayList<>(
                ledgers.stream().map(ledger -> ledger.snapshot(nowMillis)).toList());
    }

    private static BurnReport merged(List<BurnLedger> ledgers, long nowMillis) {
        return snapshots(ledgers, nowMillis).stream().map(BurnReport::of).reduce(BurnReport.EMPTY, BurnReport::merge);
    }

    private static void record(BurnLedger ledger, int times, boolean good, long atMillis) {
        for (int time = 0; time < times; time++) {
            ledger.record(new Sample(atMillis, good, "depo-sever", 0).summary(), CHECK, atMillis);
        }
    }

    private static long end(List<Sample> samples) {
        return samples.get(samples.size() - 1).atMillis + 1;
    }

    /** One request: when it ended, whether it was good, its customer and its entry. */
    record Sample(long atMillis, boolean good, String customer, int entry) {
        RequestSummary summary() {
            long firstByte = good ? 900_000 : 2_000_000;
            return new RequestSummary(
                    "1-1",
                    "palivo-llm",
                    customer,
                    "check",
                    "palivo-1",
                    1,
                    firstByte,
                    firstByte,
                    Optional.empty(),
                    200,
                    Usage.NONE);
        }
    }
}
