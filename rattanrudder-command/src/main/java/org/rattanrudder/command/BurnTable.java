package org.rattanrudder.command;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import org.rattanrudder.command.BurnView.ClassView;
import org.rattanrudder.command.BurnView.CoverageView;

/** Writes the burn report for a terminal. */
final class BurnTable {
    private static final String PARTLY_KNOWN = "~";
    private static final double PERCENT = 100;
    private static final double MICROS_PER_MILLI = 1_000;
    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm:ss 'UTC'").withZone(ZoneOffset.UTC);

    private BurnTable() {}

    static void write(BurnView view, Output output) {
        output.line("burn at " + time(view.takenMillis()) + ", from "
                + view.entries().size() + " of "
                + (view.entries().size() + view.silent().size()) + " entries");
        output.line("");
        classes(view, output);
        output.line("");
        latencies(view, output);
        alerts(view, output);
        customers(view, output);
        coverage(view, output);
    }

    static String time(long millis) {
        return TIME.format(Instant.ofEpochMilli(millis));
    }

    static String percent(double share) {
        return String.format(Locale.ROOT, "%.1f%%", share * PERCENT);
    }

    /** Returns the objective in words, such as {@code 99% within 1500 ms}. */
    static String objective(ClassView view) {
        String share = String.format(Locale.ROOT, "%.3f", view.objectiveShare() * PERCENT)
                .replaceAll("\\.?0+$", "");
        return share + "% within " + view.objectiveMillis() + " ms";
    }

    static String rate(BurnView.WindowView window) {
        return window.good() + window.bad() == 0 ? "-" : String.format(Locale.ROOT, "%.1fx", window.burnRate());
    }

    static String millis(long micros) {
        return String.format(Locale.ROOT, "%.1f ms", micros / MICROS_PER_MILLI);
    }

    private static void classes(BurnView view, Output output) {
        List<List<String>> rows = new ArrayList<>();
        List<String> head = new ArrayList<>(List.of("SERVICE", "CLASS", "OBJECTIVE", "BUDGET LEFT"));
        view.coverage().forEach(each -> head.add("BURN " + each.window()));
        head.addAll(List.of("GOOD 3 d", "BAD 3 d"));
        rows.add(head);
        for (ClassView each : view.classes()) {
            List<String> row = new ArrayList<>(
                    List.of(each.service(), each.requestClass(), objective(each), percent(each.budgetLeft())));
            for (int index = 0; index < each.windows().size(); index++) {
                String known = view.coverage().get(index).share() < 1 ? PARTLY_KNOWN : "";
                row.add(rate(each.windows().get(index)) + known);
            }
            BurnView.WindowView longest = each.windows().get(each.windows().size() - 1);
            row.add(Long.toString(longest.good()));
            row.add(Long.toString(longest.bad()));
            rows.add(row);
        }
        output.table(rows);
        boolean whole = view.coverage().stream().allMatch(each -> each.share() >= 1);
        if (!whole) {
            output.line(PARTLY_KNOWN + " the entries' memory covers only a part of this window; see below");
        }
    }

    private static void latencies(BurnView view, Output output) {
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("FIRST BYTE (6 h)", "CLASS", "ANSWERS", "P50", "P95", "P99", "NOT COUNTED"));
        for (ClassView each : view.classes()) {
            rows.add(List.of(
                    each.service(),
                    each.requestClass(),
                    Long.toString(each.firstByte().count()),
                    millis(each.firstByte().p50Micros()),
                    millis(each.firstByte().p95Micros()),
                    millis(each.firstByte().p99Micros()),
                    Long.toString(each.excluded())));
        }
        output.table(rows);
    }

    private static void alerts(BurnView view, Output output) {
        output.line("");
        boolean none = view.classes().stream().allMatch(each -> each.alerts().isEmpty());
        if (none) {
            output.line("no alert is raised");
        }
        for (ClassView each : view.classes()) {
            for (BurnView.AlertView alert : each.alerts()) {
                output.line(String.format(
                        Locale.ROOT,
                        "ALERT %s: %s/%s burns at %.1fx or more over %s and %s",
                        alert.alert(),
                        each.service(),
                        each.requestClass(),
                        alert.threshold(),
                        alert.longWindow(),
                        alert.shortWindow()));
            }
        }
    }

    private static void customers(BurnView view, Output output) {
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("WORST CUSTOMERS (6 h)", "CLASS", "CUSTOMER", "BAD", "OF", "SHARE"));
        for (ClassView each : view.classes()) {
            each.worstCustomers().forEach(customer -> {
                long total = customer.good() + customer.bad();
                rows.add(List.of(
                        each.service(),
                        each.requestClass(),
                        customer.customer(),
                        Long.toString(customer.bad()),
                        Long.toString(total),
                        percent((double) customer.bad() / total)));
            });
        }
        output.line("");
        if (rows.size() == 1) {
            output.line("no customer had a bad request");
            return;
        }
        output.table(rows);
    }

    private static void coverage(BurnView view, Output output) {
        output.line("");
        output.line("covered by the entries' memory: "
                + view.coverage().stream()
                        .map(each -> each.window() + " " + percent(each.share()))
                        .collect(Collectors.joining(", ")));
        CoverageView longest = view.coverage().get(view.coverage().size() - 1);
        longest.gaps()
                .forEach(gap -> output.line("gap: " + gap.instance() + " counts since " + time(gap.untilMillis())
                        + "; what was counted in its place before is not known"));
        view.silent().forEach(each -> output.line("gap: no answer from " + each));
    }
}
