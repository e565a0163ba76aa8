package org.rattanrudder.standins.load;

import java.util.List;
import org.rattanrudder.standins.deployment.Layout;

/** Measures what entry and companion add to the first token, against the engine called directly in the same run. */
final class Overhead {
    private static final int WARM_UP = 300;
    private static final int MEASURED = 1_000;
    private static final int QUESTION_TOKENS = 100;

    private final Layout layout;

    Overhead(Layout layout) {
        this.layout = layout;
    }

    /** Sends short prompts one after the other, in turn directly and through an entry, and returns a table. */
    String measure() {
        List<Route> routes = List.of(
                new DirectRoute(layout, Shape.POVAZIE_BREAKING, DirectRoute.roundRobin()),
                new EntryRoute(layout, Shape.POVAZIE_BREAKING));
        List<Tally> tallies = List.of(new Tally(), new Tally());
        for (int number = 0; number < WARM_UP + MEASURED; number++) {
            for (int way = 0; way < routes.size(); way++) {
                String question = PromptText.of("question " + number + " on way " + way, QUESTION_TOKENS);
                LoadRequest request = new LoadRequest(0, 0, "", "short", 1, question, 1);
                Answer answer = routes.get(way).send(request, number).join();
                if (number >= WARM_UP) {
                    tallies.get(way).take(request, answer, 0);
                }
            }
        }
        return "| first token of " + MEASURED + " short prompts, one at a time | p50 ms | p99 ms | sent, answered,"
                + " not run, unknown, lost, crossed |\n| --- | --- | --- | --- |\n"
                + row("engine directly", tallies.get(0))
                + row("through entry and companion", tallies.get(1));
    }

    private static String row(String name, Tally tally) {
        return "| " + name + " | " + String.format("%.2f", tally.firstToken.getValueAtPercentile(50) / 1e3) + " | "
                + String.format("%.2f", tally.firstToken.getValueAtPercentile(99) / 1e3) + " | "
                + tally.counts().replace(" |", ",") + " |\n";
    }
}
