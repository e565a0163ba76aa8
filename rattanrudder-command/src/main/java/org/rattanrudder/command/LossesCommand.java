package org.rattanrudder.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.rattanrudder.command.LossReport.Part;

/** Tells from logs, and from the report of a load test if there is one, where worth was lost. */
final class LossesCommand {
    static final double USUAL_LATE_SHARE = 0.2;
    static final long USUAL_REUSE_SECONDS = 20;

    /** Shares below this aren't named. */
    private static final double LEAST_SHARE = 0.01;

    private static final long MILLIS_PER_SECOND = 1_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    private LossesCommand() {}

    /**
     * What is shown.
     *
     * @param owed what all requests were worth
     * @param reasons losses by reason
     * @param routes losses by route
     * @param seconds losses by second
     * @param readAgain tokens that were read again, by reason
     */
    record Losses(
            double owed,
            List<Part> reasons,
            List<Part> routes,
            List<Part> seconds,
            List<ReadAgainReport.Reason> readAgain) {}

    static ExitCode run(Invocation invocation) throws CommandFailure {
        invocation.noArguments();
        Map<String, Double> worths = worths(invocation.options("worth"));
        double late = number("late-share", invocation.option("late-share").orElse("" + USUAL_LATE_SHARE), 1);
        double reuse =
                number("reuse-seconds", invocation.option("reuse-seconds").orElse("" + USUAL_REUSE_SECONDS), 1e6);
        Optional<JsonNode> loadTest = loadTest(invocation);
        List<LoggedEvent> events = invocation
                .inputLines()
                .map(LoggedEvent::read)
                .flatMap(Optional::stream)
                .toList();
        LossReport losses = LossReport.of(events.stream(), worths, late);
        ReadAgainReport again = ReadAgainReport.of(events.stream(), (long) (reuse * MILLIS_PER_SECOND));
        if (losses.owed() == 0) {
            invocation.output().problem("no line tells of a request's end: are the logs of relays given?");
            return ExitCode.DIFFERENT;
        }
        show(invocation.output(), losses, again);
        loadTest.ifPresent(report -> show(invocation.output(), report));
        return ExitCode.DONE;
    }

    private static Map<String, Double> worths(List<String> given) throws CommandFailure {
        Map<String, Double> worths = new HashMap<>();
        for (String text : given) {
            int equals = text.lastIndexOf('=');
            if (equals <= 0) {
                throw new CommandFailure(ExitCode.USAGE, "--worth: expected ROUTE=NUMBER, not \"" + text + "\"");
            }
            worths.put(text.substring(0, equals), number("worth", text.substring(equals + 1), Double.MAX_VALUE));
        }
        return worths;
    }

    private static double number(String option, String text, double most) throws CommandFailure {
        try {
            double value = Double.parseDouble(text);
            if (value >= 0 && value <= most) {
                return value;
            }
        } catch (NumberFormatException noNumber) {
            // Told below, together with numbers out of range.
        }
        throw new CommandFailure(ExitCode.USAGE, "--" + option + ": not a number in range: \"" + text + "\"");
    }

    private static Optional<JsonNode> loadTest(Invocation invocation) throws CommandFailure {
        Optional<String> file = invocation.option("load-test");
        if (file.isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(JSON.readTree(Invocation.readFile(file.get())));
        } catch (JsonProcessingException noJson) {
            throw new CommandFailure(ExitCode.USAGE, file.get() + ": not JSON");
        }
    }

    private static void show(Output output, LossReport losses, ReadAgainReport again) {
        output.value(
                new Losses(losses.owed(), losses.byReason(), losses.byRoute(), losses.bySecond(), again.reasons()));
        table(output, "REASON", losses.byReason());
        table(output, "ROUTE", losses.byRoute());
        table(output, "SECOND", losses.bySecond());
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("READ AGAIN", "TOKENS"));
        again.reasons().forEach(reason -> rows.add(List.of(reason.reason(), Long.toString(reason.tokens()))));
        rows.add(List.of("all", Long.toString(again.tokens())));
        output.table(rows);
    }

    private static void table(Output output, String of, List<Part> parts) {
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of(of, "LOST", "SHARE"));
        parts.stream()
                .filter(part -> part.share() >= LEAST_SHARE)
                .forEach(part -> rows.add(List.of(part.of(), decimal(part.lost()), decimal(part.share()))));
        output.table(rows);
    }

    /** Shows the priced matters of a load test: rows of name, amount and what they took of the whole worth. */
    private static void show(Output output, JsonNode loadTest) {
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("PRICED", "AMOUNT", "SHARE"));
        for (JsonNode price : loadTest.path("prices")) {
            if (price.path(2).asDouble() >= LEAST_SHARE) {
                rows.add(List.of(
                        price.path(0).asText(),
                        decimal(price.path(1).asDouble()),
                        decimal(price.path(2).asDouble())));
            }
        }
        output.table(rows);
    }

    private static String decimal(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }
}
