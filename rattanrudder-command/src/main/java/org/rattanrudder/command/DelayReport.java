package org.rattanrudder.command;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Where the time of requests went, by route, from the lines that relays logged at their ends.
 *
 * <p>A request is late if its first byte came after its objective. It is put down to the step that took longest:
 * waiting for an engine at the relay, attempts that failed before, reading what of its prompt wasn't cached, or what is
 * left, the target's queue and fetches. A stream that began in time is late if it then stood still for too long.
 */
final class DelayReport {
    /** Prompt tokens that an engine reads in a millisecond; what the relay plans with, too. */
    private static final double TOKENS_PER_MILLI = 100;

    /** The least status of an answer that is a failure of the target's own. */
    private static final int SERVER_ERROR = 500;

    private final Map<String, Row> rows = new TreeMap<>();

    /** How a request ended, and if late, by which step. */
    enum Ending {
        IN_TIME,
        HELD,
        RETRIED,
        READING,
        TARGET,
        PAUSED,
        REFUSED,
        FAILED,
        LEFT
    }

    /**
     * The requests of one route.
     *
     * @param route its name
     * @param endings how many ended in which way
     * @param waits time at the relay before the last send, in ms, ascending
     * @param firsts time at the target to the first byte, in ms, ascending
     */
    record Counted(String route, Map<Ending, Integer> endings, List<Long> waits, List<Long> firsts) {
        int requests() {
            return endings.values().stream().mapToInt(Integer::intValue).sum();
        }
    }

    private static final class Row {
        private final Map<Ending, Integer> endings = new EnumMap<>(Ending.class);
        private final List<Long> waits = new ArrayList<>();
        private final List<Long> firsts = new ArrayList<>();
    }

    /** Reads the lines; those that are no request's end are passed over. */
    static DelayReport of(Stream<String> lines) {
        DelayReport report = new DelayReport();
        lines.filter(line -> line.contains("event=request_ended"))
                .map(LoggedEvent::read)
                .flatMap(Optional::stream)
                .filter(event -> event.event().equals("request_ended"))
                .forEach(report::add);
        return report;
    }

    /** Returns the routes by their names. */
    List<Counted> routes() {
        return rows.entrySet().stream()
                .map(row -> new Counted(
                        row.getKey(),
                        Map.copyOf(row.getValue().endings),
                        sorted(row.getValue().waits),
                        sorted(row.getValue().firsts)))
                .toList();
    }

    private static List<Long> sorted(List<Long> values) {
        return values.stream().sorted(Comparator.naturalOrder()).toList();
    }

    private void add(LoggedEvent event) {
        Row row = rows.computeIfAbsent(event.text("route"), unseen -> new Row());
        row.endings.merge(ending(event), 1, Integer::sum);
        event.number("sent_after_ms").ifPresent(row.waits::add);
        event.number("first_after_ms").stream().filter(first -> first >= 0).forEach(row.firsts::add);
    }

    /** Returns how a request ended. */
    static Ending ending(LoggedEvent event) {
        String outcome = event.text("outcome");
        if (outcome.equals("cancelled")) {
            return Ending.LEFT;
        }
        OptionalLong status = event.number("outcome");
        if (status.isEmpty()) {
            return outcome.equals("broken_off") || event.number("runs").orElse(0) > 0 ? Ending.FAILED : Ending.REFUSED;
        }
        if (status.getAsLong() >= SERVER_ERROR) {
            return Ending.FAILED;
        }
        long wait = event.number("sent_after_ms").orElse(0);
        long first = event.number("first_after_ms").orElse(0);
        OptionalLong objective = event.number("objective_ms");
        if (objective.isEmpty() || wait + first <= objective.getAsLong()) {
            return paused(event) ? Ending.PAUSED : Ending.IN_TIME;
        }
        return lateBy(event, wait, first);
    }

    /** Returns whether a stream stood still for longer than its route allows. */
    private static boolean paused(LoggedEvent event) {
        long allowed = event.number("pause_objective_ms").orElse(0);
        return allowed > 0 && event.number("longest_pause_ms").orElse(0) > allowed;
    }

    private static Ending lateBy(LoggedEvent event, long wait, long first) {
        double reading = Math.min(first, event.number("unread").orElse(0) / TOKENS_PER_MILLI);
        if (wait >= first) {
            long failed =
                    event.number("runs").orElse(0) + event.number("unrun_sends").orElse(0);
            return failed > 0 ? Ending.RETRIED : Ending.HELD;
        }
        return reading * 2 >= first ? Ending.READING : Ending.TARGET;
    }
}
