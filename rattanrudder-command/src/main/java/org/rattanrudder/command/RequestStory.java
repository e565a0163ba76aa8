package org.rattanrudder.command;

import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * What became of one request, step by step, from the lines that processes logged about it.
 *
 * <p>Lines may come from several processes in any order; they are put in the order of their times. Where the lines of a
 * process follow a name, as a collector of logs may write it, the name is kept.
 */
final class RequestStory {
    private static final Set<String> LEFT_OUT = Set.of("time", "level", "logger", "event", "request");

    private final List<Step> steps;

    private RequestStory(List<Step> steps) {
        this.steps = steps;
    }

    /**
     * One step.
     *
     * @param time when, as logged
     * @param afterMillis time since the first step
     * @param source what stood before the line; empty if nothing
     * @param event what happened
     * @param meaning the same in words
     * @param fields what decided it
     */
    record Step(
            String time, long afterMillis, String source, String event, String meaning, Map<String, String> fields) {}

    /** Reads the lines and keeps those about the request. */
    static RequestStory of(String request, Stream<String> lines) {
        List<Step> found = new ArrayList<>();
        lines.filter(line -> line.contains(request))
                .forEach(line -> step(request, line).ifPresent(found::add));
        found.sort(Comparator.comparing(Step::time));
        List<Step> steps = new ArrayList<>();
        for (Step step : found) {
            steps.add(new Step(
                    step.time(),
                    millis(found.get(0), step),
                    step.source(),
                    step.event(),
                    step.meaning(),
                    step.fields()));
        }
        return new RequestStory(steps);
    }

    List<Step> steps() {
        return steps;
    }

    private static Optional<Step> step(String request, String line) {
        Optional<LoggedEvent> logged = LoggedEvent.read(line).filter(each -> request.equals(each.text("request")));
        if (logged.isEmpty()) {
            return Optional.empty();
        }
        Map<String, String> fields = new LinkedHashMap<>(logged.get().fields());
        String event = fields.get("event");
        String meaning = meaning(event, fields);
        String time = fields.getOrDefault("time", "");
        fields.keySet().removeAll(LEFT_OUT);
        return Optional.of(new Step(time, 0, logged.get().source(), event, meaning, fields));
    }

    private static long millis(Step first, Step step) {
        try {
            return Duration.between(Instant.parse(first.time()), Instant.parse(step.time()))
                    .toMillis();
        } catch (DateTimeParseException withoutTime) {
            return 0;
        }
    }

    private static String meaning(String event, Map<String, String> fields) {
        return switch (event) {
            case "request_denied" ->
                "turned away: " + fields.get("error") + " by configuration " + fields.get("configuration");
            case "request_held" ->
                "waits in line, engines are full; " + fields.get("in_line") + " wait for " + fields.get("service")
                        + limitedTargets(fields);
            case "request_forecast" ->
                "unknown".equals(fields.get("forecast_ms"))
                        ? "too little is known to say when it will be sent"
                        : "expected to be sent " + turn(fields);
            case "request_rejected_early" ->
                "rejected, since it would be sent " + turn(fields) + " and that is of use for "
                        + fields.get("useful_ms") + " ms; to be retried after " + fields.get("retry_after_ms") + " ms";
            case "stream_resumed" ->
                "resumes the stream of request " + fields.get("resumes") + " after event " + fields.get("after_event")
                        + "; begun by " + fields.get("service") + " " + fields.get("software") + " ("
                        + fields.get("origin") + ")"
                        + ("false".equals(fields.get("continuable")) ? ", which no target can continue" : "");
            case "request_placed" ->
                "target " + fields.get("target") + " picked out of " + fields.get("candidates") + ", delay of "
                        + fields.get("expected_ms") + " ms expected"
                        + ("true".equals(fields.get("warming")) ? ", though it is warming up" : "")
                        + capacity(fields);
            case "request_sent" ->
                "sent; " + fields.get("read") + " of " + fields.get("shared_parts")
                        + " shared parts are read from stores, " + fields.get("saved") + " saved";
            case "attempt_failed" ->
                "attempt at " + fields.get("target") + " failed: " + fields.get("outcome") + ", " + fields.get("reason")
                        + " after " + fields.get("after_ms") + " ms";
            case "request_ended" ->
                "ended with " + fields.get("outcome") + " (" + fields.get("reason") + ") after " + fields.get("ms")
                        + " ms";
            default -> event.replace('_', ' ');
        };
    }

    /** Says what the expected delay rests on where targets report their pace; other lines don't say. */
    private static String capacity(Map<String, String> fields) {
        String slowdown = fields.get("slowdown");
        if (slowdown == null) {
            return "";
        }
        String pace = fields.getOrDefault("pace_percent", "none");
        return "; it is taken as " + slowdown + " times as slow as usual ("
                + (pace.equals("none")
                        ? "no pace reported"
                        : "pace " + pace + "% reported " + fields.get("pace_age_ms") + " ms before")
                + ", learned factor " + fields.get("factor") + "), usual are " + fields.get("tokens_per_ms")
                + " tokens/ms and " + fields.get("base_ms") + " ms";
    }

    /** Says when a request would be sent, and from what that was forecast. */
    private static String turn(Map<String, String> fields) {
        return ("true".equals(fields.get("as_late")) ? "late, " : "") + "in " + fields.get("forecast_ms") + " ms: "
                + fields.get("ahead") + " requests of " + fields.get("ahead_tokens") + " tokens are ahead, "
                + fields.get("requests_per_s") + " requests and " + fields.get("tokens_per_s")
                + " tokens a second were served, known for " + fields.get("rate_age_ms") + " ms,";
    }

    /** Says which targets were out of use or limited, if any; lines of older relays don't say. */
    private static String limitedTargets(Map<String, String> fields) {
        String warming = fields.getOrDefault("warming", "0");
        String rateLimited = fields.getOrDefault("rate_limited", "0");
        String evacuated = fields.getOrDefault("evacuated", "0");
        return (warming.equals("0") ? "" : "; " + warming + " targets are warming up")
                + (rateLimited.equals("0") ? "" : "; " + rateLimited + " targets have named rate limits")
                + (evacuated.equals("0") ? "" : "; failure domains evacuated: " + evacuated);
    }
}
