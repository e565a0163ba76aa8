package org.rattanrudder.core.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.IntToDoubleFunction;
import java.util.stream.Collectors;
import org.rattanrudder.core.fleet.OverloadPlay.Call;
import org.rattanrudder.core.fleet.OverloadPlay.Outcome;
import org.rattanrudder.core.fleet.OverloadPlay.ReturnRule;
import org.rattanrudder.core.fleet.OverloadPlay.Settings;
import org.rattanrudder.core.fleet.QueueForecast.Place;

/** Prints what callers of an overloaded service get by each way of rejecting them, and what a forecast costs. */
final class EarlyRejectionBench {
    private static final int SEEDS = 10;
    private static final int QUEUED = 5_000;
    private static final int FORECASTS = 200_000;
    private static final double NANOS_PER_MICRO = 1_000;

    private EarlyRejectionBench() {}

    private record Rule(String name, boolean early, ReturnRule returns) {}

    private record Load(String name, double urgentShare, IntToDoubleFunction load) {}

    private static final List<Rule> RULES = List.of(
            new Rule("queue only, random time", false, OverloadPlay.RANDOM),
            new Rule("early, random time", true, OverloadPlay.RANDOM),
            new Rule("early, turn", true, OverloadPlay.TURN),
            new Rule("early, slot in the turn", true, OverloadPlay.TURN_SLOT),
            new Rule("early, slot in the objective", true, OverloadPlay.SLOT));

    private static final List<Load> LOADS = List.of(
            new Load("0.8", 0.3, second -> 0.8),
            new Load("1.1", 0.3, second -> 1.1),
            new Load("1.5", 0.3, second -> 1.5),
            new Load("2.5", 0.3, second -> 2.5),
            new Load("1.4 for 3 s of 10 s, else 0.8", 0.3, second -> second % 10 < 3 ? 1.4 : 0.8),
            new Load("2.5 for 1 s of 4 s, else 0.5", 0.3, second -> second % 4 < 1 ? 2.5 : 0.5),
            new Load("2.5 for 2 s of 8 s, else 0.6", 0.3, second -> second % 8 < 2 ? 2.5 : 0.6),
            new Load("1.5, nine tenths urgent", 0.9, second -> 1.5));

    /** Plays all loads by all rules and prints a table, then the time of a forecast. */
    public static void main(String[] arguments) {
        System.out.println("load | rule | on time | served | urgent on time/served | others on time/served"
                + " | wait of rejected p50/p90 ms | attempts, wasted per call"
                + " | served: patient customers least/most, hasty | by size");
        LOADS.forEach(load -> RULES.forEach(rule -> print(load, rule)));
        printCost();
    }

    private static void print(Load load, Rule rule) {
        List<Call> calls = new ArrayList<>();
        int attempts = 0;
        int wasted = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            Outcome outcome =
                    OverloadPlay.play(new Settings(rule.early, rule.returns, load.urgentShare, load.load, seed));
            calls.addAll(outcome.calls());
            attempts += outcome.attempts();
            wasted += outcome.wastedAttempts();
        }
        OverloadFigures figures = new OverloadFigures(calls);
        OverloadFigures urgent = figures.ofPriority(0);
        OverloadFigures others = figures.ofPriority(1);
        double[] customers =
                Arrays.stream(figures.servedByPatientCustomer()).sorted().toArray();
        System.out.printf(
                Locale.ROOT,
                "%s | %s | %.3f | %.3f | %.3f/%.3f | %.3f/%.3f | %d/%d | %.2f, %.2f | %.3f/%.3f, %.3f | %s%n",
                load.name,
                rule.name,
                figures.onTime(),
                figures.served(),
                urgent.onTime(),
                urgent.served(),
                others.onTime(),
                others.served(),
                figures.waitOfRejected(0.5),
                figures.waitOfRejected(0.9),
                attempts / (double) calls.size(),
                wasted / (double) calls.size(),
                customers[0],
                customers[customers.length - 1],
                figures.only(Call::isHasty).served(),
                Arrays.stream(figures.servedBySize())
                        .mapToObj(share -> String.format(Locale.ROOT, "%.3f", share))
                        .collect(Collectors.joining(" ")));
    }

    private static void printCost() {
        HoldingQueue<Integer> queue = new HoldingQueue<>();
        QueueForecast forecasts = new QueueForecast();
        for (int number = 0; number < QUEUED; number++) {
            queue.add(number, number % 2, 1_000, 10_000 + number % 2_000, 20_000, 30_000);
        }
        forecasts.onQueueChanged(true, 0);
        for (int served = 1; served <= 20; served++) {
            forecasts.onServed(served % 2, false, 1_000, 20L * served);
        }
        Place place = new Place(1, 11_500, 20_000, 30_000);
        double arrival = 0;
        double pass = 0;
        // The second round is of compiled code.
        for (int round = 0; round < 2; round++) {
            arrival = micros(FORECASTS, () -> EarlyRejection.onArrival(forecasts, queue, place, 500));
            pass = micros(
                    FORECASTS / QUEUED, () -> EarlyRejection.rejectWaiting(forecasts, queue, waiting -> false, 500));
        }
        System.out.printf(
                Locale.ROOT, "%d queued: %.2f us for an arrival, %.0f us for a pass%n", QUEUED, arrival, pass);
    }

    private static double micros(int times, Runnable task) {
        long begin = System.nanoTime();
        for (int time = 0; time < times; time++) {
            task.run();
        }
        return (System.nanoTime() - begin) / NANOS_PER_MICRO / times;
    }
}
