package org.rattanrudder.standins.model;

import static org.rattanrudder.standins.model.ModelPolicy.change;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.rattanrudder.standins.model.ModelPolicy.RestWay;

/**
 * Compares ways of deciding on one day, over several seeds.
 *
 * <pre>{@code
 * bin/measure relays
 * }</pre>
 */
public final class ModelExperiment {
    private static final String DAY = "examples/model/shift-change.json";
    private static final int SEEDS = 10;
    private static final double PERCENT = 100;

    /** A multiple of any objective that is longer than any deadline. */
    private static final double UNBOUNDED = 100;

    private ModelExperiment() {}

    /** Returns the ways that are compared: what is done now, and parts of it changed or taken out. */
    static List<ModelPolicy> policies() {
        return List.of(
                ModelPolicy.now(),
                change().allTargetsShared().messages(400, 1).named("all engines shared, all told every 400 ms"),
                change().messages(100, 1).named("all messages every 100 ms"),
                change().messages(100, 4).named("all messages every 100 ms, far 400"),
                change().atOnceWithinTheDomain().named("told at once within the domain"),
                change().nothingAtOnce().named("nothing told at once"),
                change().endsToo().named("ends told within 25 ms"),
                change().countedOnceConnected().named("counted once connected"),
                change().withoutOwnOrder().named("no order of its own"),
                change().lateFor(UNBOUNDED).named("late ones wait to their deadline"),
                change().heldFor(0.3).named("held for 0.3 of the objective"),
                change().heldFor(0.7).named("held for 0.7 of the objective"),
                change().limitsPassedOver().named("rate limits passed over"),
                change().rest(RestWay.PASSED_OVER).named("wishes for rest passed over"),
                change().rest(RestWay.ALL_RETURN).named("all return at once after a rest"),
                change().nothingAtOnce()
                        .countedOnceConnected()
                        .withoutOwnOrder()
                        .lateFor(UNBOUNDED)
                        .named("none of these"));
    }

    /** Prints the table of a day. */
    public static void main(String[] arguments) throws IOException {
        OptionParser parser = new OptionParser();
        OptionSpec<String> file =
                parser.accepts("day", "shape of the day").withRequiredArg().defaultsTo(DAY);
        OptionSpec<Integer> seeds = parser.accepts("seeds", "how many seeds")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(SEEDS);
        OptionSet options = parser.parse(arguments);
        ModelDay day = ModelDay.read(Path.of(options.valueOf(file)));
        print(System.out, day, options.valueOf(seeds));
    }

    static void print(PrintStream out, ModelDay day, int seeds) {
        out.println("| way | on time (least to most) | late | refused | p50 ms | p95 ms | read again | preempted"
                + " | sent above | messages | to limited engines | most in 4 s | turned away | at once |");
        out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (ModelPolicy policy : policies()) {
            List<ModelReport> reports = LongStream.rangeClosed(1, seeds)
                    .parallel()
                    .mapToObj(seed -> ModelRun.play(day, policy, seed))
                    .toList();
            out.println(row(policy, reports));
        }
    }

    private static String row(ModelPolicy policy, List<ModelReport> reports) {
        double least = reports.stream().mapToDouble(ModelReport::onTime).min().orElse(0);
        double most = reports.stream().mapToDouble(ModelReport::onTime).max().orElse(0);
        return String.format(
                Locale.ROOT,
                "| %s | %.1f%% (%.1f to %.1f) | %.1f%% | %.1f%% | %.0f | %.0f | %.1f%% | %.0f | %.1f%% | %.0f"
                        + " | %.0f | %.0f | %.0f | %.0f |",
                policy.name(),
                PERCENT * mean(reports, ModelReport::onTime),
                PERCENT * least,
                PERCENT * most,
                PERCENT * mean(reports, ModelReport::late),
                PERCENT * mean(reports, ModelReport::refused),
                mean(reports, ModelReport::medianMillis),
                mean(reports, ModelReport::slowMillis),
                PERCENT * mean(reports, ModelReport::readAgain),
                mean(reports, ModelReport::preempted),
                PERCENT * mean(reports, ModelReport::sentAbove),
                mean(reports, ModelReport::messages),
                mean(reports, ModelReport::limitedSends),
                mean(reports, ModelReport::mostToLimitedEngine),
                mean(reports, ModelReport::turnedAway),
                mean(reports, ModelReport::mostTurnedAwayAtOnce));
    }

    private static double mean(List<ModelReport> reports, ToDoubleFunction<ModelReport> value) {
        return reports.stream().mapToDouble(value).average().orElse(0);
    }
}
