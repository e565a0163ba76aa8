package org.rattanrudder.command;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.rattanrudder.command.DelayReport.Ending;

/**
 * What requests were worth that relays served late or not at all, from the lines that relays logged at their ends.
 *
 * <p>Each request is worth what its route is said to be. One that is late keeps a part of that; one that isn't served
 * keeps nothing. What was lost is laid to a reason, a route and the second in which the request arrived.
 */
final class LossReport {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Requests of a route that isn't named are worth this much. */
    private static final double USUAL_WORTH = 1;

    private final Map<String, Double> worths;
    private final double lateShare;
    private final Map<Place, Double> lost = new HashMap<>();
    private final Map<String, Double> owedByRoute = new TreeMap<>();
    private final Map<Long, Double> owedBySecond = new TreeMap<>();
    private final Map<Long, Double> lostBySecond = new TreeMap<>();
    private final Map<String, Double> lostByRoute = new TreeMap<>();
    private double owed;
    private long firstMillis = Long.MAX_VALUE;

    private record Place(Ending ending, String reason) {}

    private record Ended(LoggedEvent event, long arrivedAtMillis) {}

    /**
     * A part of what was lost.
     *
     * @param of what it is a part of: a reason, a route or a second
     * @param lost what was lost there
     * @param owed what was owed there; of a reason, in all
     */
    record Part(String of, double lost, double owed) {
        /** Returns the lost share, 0 to 1. */
        double share() {
            return owed == 0 ? 0 : lost / owed;
        }
    }

    /**
     * Makes an empty report.
     *
     * @param worths what a request of a route is worth
     * @param lateShare what a late request keeps of its worth, 0 to 1
     */
    private LossReport(Map<String, Double> worths, double lateShare) {
        this.worths = Map.copyOf(worths);
        this.lateShare = lateShare;
    }

    /** Reads the ends of requests; other events are passed over. */
    static LossReport of(Stream<LoggedEvent> events, Map<String, Double> worths, double lateShare) {
        LossReport report = new LossReport(worths, lateShare);
        List<Ended> ended = events.filter(event -> event.event().equals("request_ended"))
                .map(LossReport::ended)
                .flatMap(Optional::stream)
                .toList();
        report.firstMillis =
                ended.stream().mapToLong(Ended::arrivedAtMillis).min().orElse(0);
        ended.forEach(report::add);
        return report;
    }

    private static Optional<Ended> ended(LoggedEvent event) {
        return event.timeMillis()
                .map(at -> new Ended(event, at - event.number("ms").orElse(0)));
    }

    private void add(Ended ended) {
        LoggedEvent event = ended.event();
        String route = event.text("route");
        double worth = worths.getOrDefault(route, USUAL_WORTH);
        Ending ending = DelayReport.ending(event);
        if (ending == Ending.LEFT) {
            // Its caller had gone: nobody can say for whose sake.
            return;
        }
        double loss = loss(ending, worth);
        long second = (long) ((ended.arrivedAtMillis() - firstMillis) / MILLIS_PER_SECOND);
        owed += worth;
        owedByRoute.merge(route, worth, Double::sum);
        owedBySecond.merge(second, worth, Double::sum);
        if (loss > 0) {
            lost.merge(new Place(ending, reason(ending, event)), loss, Double::sum);
            lostByRoute.merge(route, loss, Double::sum);
            lostBySecond.merge(second, loss, Double::sum);
        }
    }

    private double loss(Ending ending, double worth) {
        return switch (ending) {
            case IN_TIME, LEFT -> 0;
            case HELD, RETRIED, READING, TARGET, PAUSED -> worth * (1 - lateShare);
            case REFUSED, FAILED -> worth;
        };
    }

    private static String reason(Ending ending, LoggedEvent event) {
        return switch (ending) {
            case REFUSED, FAILED -> ": " + event.text("reason");
            default -> "";
        };
    }

    /** Returns what all requests were worth. */
    double owed() {
        return owed;
    }

    /** Returns the losses by reason, the largest first. */
    List<Part> byReason() {
        List<Part> parts = new ArrayList<>();
        lost.forEach((place, loss) -> {
            String ending = place.ending().name().toLowerCase(Locale.ROOT);
            parts.add(new Part(ending + place.reason(), loss, owed));
        });
        parts.sort(Comparator.comparingDouble(Part::lost).reversed().thenComparing(Part::of));
        return parts;
    }

    /** Returns the losses by route, by its name. */
    List<Part> byRoute() {
        return parts(owedByRoute, lostByRoute);
    }

    /** Returns the losses by the second of arrival, counted from the first. */
    List<Part> bySecond() {
        return parts(owedBySecond, lostBySecond);
    }

    private static <K> List<Part> parts(Map<K, Double> owed, Map<K, Double> lost) {
        return owed.entrySet().stream()
                .map(entry ->
                        new Part(entry.getKey().toString(), lost.getOrDefault(entry.getKey(), 0.0), entry.getValue()))
                .toList();
    }
}
