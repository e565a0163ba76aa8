package org.rattanrudder.command;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.rattanrudder.core.burn.BurnAlert;
import org.rattanrudder.core.burn.BurnReport;
import org.rattanrudder.core.burn.BurnSnapshot;
import org.rattanrudder.core.burn.ClassBurn;
import org.rattanrudder.core.burn.Coverage;
import org.rattanrudder.core.burn.Window;
import org.rattanrudder.core.burn.WindowBurn;

/**
 * The burn report in the form in which tables, pages and JSON show it.
 *
 * @param takenMillis when the newest counts were taken, in milliseconds since 1970
 * @param entries the entries whose counts are in it
 * @param silent the entries that gave no answer, with the reason: what they counted is missing
 * @param coverage how much of each window the entries' memory covers
 * @param classes the burn of each service and request class
 */
record BurnView(
        long takenMillis,
        List<EntryView> entries,
        List<String> silent,
        List<CoverageView> coverage,
        List<ClassView> classes) {
    private static final int WORST_CUSTOMERS = 5;
    private static final double MEDIAN = 0.5;
    private static final double P95 = 0.95;
    private static final double P99 = 0.99;

    static BurnView of(BurnReport report, List<String> silent) {
        List<EntryView> entries = report.snapshots().stream()
                .map(each -> new EntryView(each.instance(), each.failureDomain(), each.startedMillis()))
                .toList();
        List<CoverageView> coverage = Stream.of(Window.values())
                .map(window -> coverage(report.coverage(window)))
                .toList();
        List<ClassView> classes =
                report.classes().stream().map(BurnView::classView).toList();
        return new BurnView(report.nowMillis(), entries, silent, coverage, classes);
    }

    private static CoverageView coverage(Coverage coverage) {
        List<GapView> gaps = coverage.gaps().stream()
                .map(gap -> new GapView(gap.instance(), gap.fromMillis(), gap.untilMillis()))
                .toList();
        return new CoverageView(coverage.window().label(), coverage.share(), gaps);
    }

    private static ClassView classView(ClassBurn burn) {
        List<WindowView> windows = new ArrayList<>();
        for (Window window : Window.values()) {
            WindowBurn counts = burn.windows().get(window);
            windows.add(new WindowView(window.label(), counts.good(), counts.bad(), counts.burnRate()));
        }
        return new ClassView(
                burn.service(),
                burn.requestClass(),
                burn.objectiveMillis(),
                burn.objectiveShare(),
                burn.budgetLeft(),
                burn.excluded(),
                windows,
                burn.alerts().stream().map(BurnView::alert).toList(),
                new LatencyView(
                        burn.firstByte().count(),
                        burn.firstByte().quantileMicros(MEDIAN),
                        burn.firstByte().quantileMicros(P95),
                        burn.firstByte().quantileMicros(P99)),
                burn.customers().stream()
                        .filter(customer -> customer.bad() > 0)
                        .limit(WORST_CUSTOMERS)
                        .toList());
    }

    private static AlertView alert(BurnAlert alert) {
        return new AlertView(
                alert.name().toLowerCase(),
                alert.threshold(),
                alert.longWindow().label(),
                alert.shortWindow().label());
    }

    /** One entry whose counts are in the report. */
    record EntryView(String instance, String failureDomain, long startedMillis) {}

    /** How much of one window is covered, from 0 to 1. */
    record CoverageView(String window, double share, List<GapView> gaps) {}

    /** A time about which one entry knows nothing. */
    record GapView(String instance, long fromMillis, long untilMillis) {}

    /** One request class of one service. */
    record ClassView(
            String service,
            String requestClass,
            long objectiveMillis,
            double objectiveShare,
            double budgetLeft,
            long excluded,
            List<WindowView> windows,
            List<AlertView> alerts,
            LatencyView firstByte,
            List<BurnSnapshot.CustomerCounts> worstCustomers) {}

    /** One window of a class. */
    record WindowView(String window, long good, long bad, double burnRate) {}

    /** One alert that is raised. */
    record AlertView(String alert, double threshold, String longWindow, String shortWindow) {}

    /** Times to the first byte over the last six hours, in microseconds. */
    record LatencyView(long count, long p50Micros, long p95Micros, long p99Micros) {}
}
