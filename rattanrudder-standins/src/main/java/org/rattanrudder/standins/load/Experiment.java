package org.rattanrudder.standins.load;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.UnaryOperator;
import org.rattanrudder.core.document.StoreSettings;
import org.rattanrudder.core.document.TargetSettings;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.standins.deployment.Layout;
import org.rattanrudder.standins.deployment.Readiness;

/**
 * Sends one open-loop load to running processes and prints one row of a table. Times count from when a request was due,
 * so that a late sender hides nothing.
 */
public final class Experiment {
    private static final long SEED = 20_261_202;
    private static final double SECONDS = 24;
    private static final long RECOVERY_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final String HEAD =
            "| shape | trouble | route | sent | answered | not run | unknown | lost | crossed | TTFT p50/p95/p99 ms |"
                    + " p95 before, 10 s after, later ms | recomputed | entries p99 ms | refusals p99 ms |"
                    + " untrue not run, doubled | most of a store's, an engine's link in 1 s |";

    private final Layout layout;
    private final Path directory;
    private final Shape shape;
    private final Trouble trouble;
    private final String routeName;
    private final Tally all = new Tally();
    private final Tally before = new Tally();
    private final Tally soonAfter = new Tally();
    private final Tally later = new Tally();
    private final Map<String, Answer> entryAnswers = new HashMap<>();

    private Experiment(Layout layout, Path directory, Shape shape, Trouble trouble, String routeName) {
        this.layout = layout;
        this.directory = directory;
        this.shape = shape;
        this.trouble = trouble;
        this.routeName = routeName;
    }

    /** Takes the prepared directory, a shape, a trouble and a route; {@code --head} prints the table's head. */
    public static void main(String[] arguments) {
        if (arguments.length == 1 && arguments[0].equals("--head")) {
            System.out.println(HEAD);
            System.out.println("|" + " --- |".repeat(16));
            return;
        }
        Path directory = Path.of(arguments[0]);
        Layout layout =
                Layout.of(directory.resolve("documents"), directory.resolve("settings"), UnaryOperator.identity());
        new Readiness(layout, new CallerClient()).publishAndWait();
        if (arguments[1].equals("overhead")) {
            System.out.println(new Overhead(layout).measure());
            System.exit(0);
        }
        Shape shape = Shape.valueOf(constant(arguments[1]));
        Trouble trouble = Trouble.valueOf(constant(arguments[2]));
        System.out.println(new Experiment(layout, directory, shape, trouble, arguments[3]).run());
        System.exit(0);
    }

    private static String constant(String name) {
        return name.toUpperCase(Locale.ROOT).replace('-', '_');
    }

    private Route route() {
        return switch (routeName) {
            case "entries" -> new EntryRoute(layout, shape);
            case "least-load" -> new DirectRoute(layout, shape, DirectRoute.leastLoad());
            case "prefix-affinity" -> new DirectRoute(layout, shape, DirectRoute.prefixAffinity());
            case "round-robin" -> new DirectRoute(layout, shape, DirectRoute.roundRobin());
            default -> throw new IllegalArgumentException("no route \"" + routeName + "\"");
        };
    }

    private String run() {
        Route route = route();
        List<LoadRequest> requests = shape.requests(SEED, SECONDS).stream()
                .filter(request -> request.isPrompt() || routeName.equals("entries"))
                .toList();
        long start = System.nanoTime();
        long troubleAt = start + (long) (SECONDS / 3 * 1e9);
        CompletableFuture<Void> troubled = CompletableFuture.runAsync(() -> {
            waitUntil(troubleAt);
            trouble.begin(layout, shape, directory);
        });
        CompletableFuture<?>[] ends = new CompletableFuture<?>[requests.size()];
        for (int number = 0; number < requests.size(); number++) {
            LoadRequest request = requests.get(number);
            long due = start + TimeUnit.MICROSECONDS.toNanos(request.atMicros());
            waitUntil(due);
            long late = TimeUnit.NANOSECONDS.toMicros(Math.max(0, System.nanoTime() - due));
            Tally phase = due < troubleAt ? before : due < troubleAt + RECOVERY_NANOS ? soonAfter : later;
            ends[number] = route.send(request, number).thenAccept(answer -> take(request, answer, late, phase));
        }
        CompletableFuture.allOf(ends).join();
        troubled.join();
        System.err.println(word(shape) + " by " + routeName + ", errors by kind: " + all.kinds());
        return row();
    }

    private void take(LoadRequest request, Answer answer, long late, Tally phase) {
        all.take(request, answer, late);
        phase.take(request, answer, late);
        if (!request.isPrompt()) {
            synchronized (entryAnswers) {
                entryAnswers.put(request.question(), answer);
            }
        }
    }

    private String row() {
        return String.format(
                "| %s | %s | %s | %s | %s / %s / %s | %s, %s, %s | %.3f | %s | %s | %s | %s, %s |",
                word(shape),
                word(trouble),
                routeName,
                all.counts(),
                Tally.millis(all.firstToken, 50),
                Tally.millis(all.firstToken, 95),
                Tally.millis(all.firstToken, 99),
                Tally.millis(before.firstToken, 95),
                Tally.millis(soonAfter.firstToken, 95),
                Tally.millis(later.firstToken, 95),
                all.recomputedShare(),
                Tally.millis(all.entryTime, 99),
                Tally.millis(all.refusalTime, 99),
                entryFaults(),
                mostOfLinks(layout.document(shape.promptService()).content().stores().stream()
                        .map(StoreSettings::address)
                        .toList()),
                mostOfLinks(layout.document(shape.promptService()).content().targets().stream()
                        .map(TargetSettings::address)
                        .toList()));
    }

    /** Counts log entries that ran though the caller was told "not run", and those that ran more than once. */
    private String entryFaults() {
        Map<String, Integer> runs = new HashMap<>();
        for (TargetSettings target :
                layout.document(shape.plainService()).content().targets()) {
            new CallerClient()
                    .call(target.address(), "GET", "/entries", Map.of(), "")
                    .json()
                    .path("entries")
                    .forEach(entry -> runs.merge(entry.asText(), 1, Integer::sum));
        }
        long untrue = entryAnswers.entrySet().stream()
                .filter(each -> each.getValue().runState().equals("not_run") && runs.containsKey(each.getKey()))
                .count();
        long doubled = runs.values().stream().filter(count -> count > 1).count();
        return untrue + ", " + doubled;
    }

    private static String mostOfLinks(List<Address> standIns) {
        long most = standIns.stream()
                .mapToLong(address -> new CallerClient()
                        .call(address, "GET", "/stats", Map.of(), "")
                        .json()
                        .path("most_bytes_in_one_second")
                        .asLong())
                .max()
                .orElse(0);
        return String.format("%.2f MB", most / 1e6);
    }

    private static String word(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static void waitUntil(long nanoTime) {
        for (long left = nanoTime - System.nanoTime(); left > 0; left = nanoTime - System.nanoTime()) {
            LockSupport.parkNanos(left);
        }
    }
}
