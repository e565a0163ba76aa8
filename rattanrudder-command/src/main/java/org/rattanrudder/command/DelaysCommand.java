package org.rattanrudder.command;

import java.util.ArrayList;
import java.util.List;
import org.rattanrudder.command.DelayReport.Counted;
import org.rattanrudder.command.DelayReport.Ending;

/** Tells from logs where the time of requests went. */
final class DelaysCommand {
    private static final double MEDIAN = 0.5;
    private static final double HIGH = 0.95;
    private static final List<String> HEADING = List.of(
            "ROUTE",
            "ENDED",
            "IN TIME",
            "HELD",
            "RETRIED",
            "READING",
            "TARGET",
            "PAUSED",
            "REFUSED",
            "FAILED",
            "LEFT",
            "WAIT P50",
            "P95",
            "FIRST P50",
            "P95");

    private DelaysCommand() {}

    static ExitCode run(Invocation invocation) throws CommandFailure {
        invocation.noArguments();
        List<Counted> routes = DelayReport.of(invocation.inputLines()).routes();
        Output output = invocation.output();
        output.value(routes);
        if (routes.isEmpty()) {
            output.problem("no line tells of a request's end: are the logs of relays given?");
            return ExitCode.DIFFERENT;
        }
        List<List<String>> rows = new ArrayList<>();
        rows.add(HEADING);
        routes.forEach(route -> rows.add(row(route)));
        output.table(rows);
        output.line("late requests stand under the step that took longest; times in ms");
        return ExitCode.DONE;
    }

    private static List<String> row(Counted route) {
        List<String> cells = new ArrayList<>();
        cells.add(route.route());
        cells.add(Integer.toString(route.requests()));
        for (Ending ending : Ending.values()) {
            cells.add(Integer.toString(route.endings().getOrDefault(ending, 0)));
        }
        cells.add(quantile(route.waits(), MEDIAN));
        cells.add(quantile(route.waits(), HIGH));
        cells.add(quantile(route.firsts(), MEDIAN));
        cells.add(quantile(route.firsts(), HIGH));
        return cells;
    }

    private static String quantile(List<Long> ascending, double share) {
        if (ascending.isEmpty()) {
            return "-";
        }
        return Long.toString(ascending.get((int) (share * (ascending.size() - 1))));
    }
}
