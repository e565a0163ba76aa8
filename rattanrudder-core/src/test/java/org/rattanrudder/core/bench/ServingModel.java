package org.rattanrudder.core.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.rattanrudder.core.document.TargetSettings;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.TargetName;
import org.rattanrudder.core.routing.Affinity;
import org.rattanrudder.core.routing.ContextCosts;
import org.rattanrudder.core.routing.Hashing;
import org.rattanrudder.core.routing.Route;
import org.rattanrudder.core.routing.RoutingPolicy;
import org.rattanrudder.core.routing.RoutingQuery;
import org.rattanrudder.core.routing.TargetPool;

/**
 * Simulates entries and engines in simulated time, in enough detail to compare routing policies under stale load
 * reports. An engine computes missing context one request at a time, decodes in a fixed number of slots, and caches the
 * most recently used contexts. Companions send load reports every second.
 */
final class ServingModel {
    static final long MICROS_PER_SECOND = 1_000_000;
    private static final long NETWORK_DELAY_MICROS = 500;
    private static final long LOSS_DETECTION_MICROS = 800_000;

    /** Parameters of a run. */
    record Parameters(
            int targets,
            int domains,
            int entries,
            int slots,
            int cachedContexts,
            int contextTokens,
            int ownTokens,
            long prefillTokensPerSecond,
            long decodeMicros) {}

    /** One request, with its arrival time and the context that it needs; context 0 for none. */
    record Demand(long micros, long context) {}

    /** The outcome of a request. */
    record Outcome(long micros, long firstTokenMicros, int promptTokens, int recomputedTokens) {}

    private final Parameters parameters;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::micros).thenComparingLong(Event::order));
    private final List<Engine> engines = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private final List<Outcome> outcomes = new ArrayList<>();
    private long nextOrder;
    private int lost;
    private int refused;

    private record Event(long micros, long order, Runnable action) {}

    ServingModel(Parameters parameters, long seed, Function<SplittableRandom, RoutingPolicy> policy) {
        this.parameters = parameters;
        this.random = new SplittableRandom(seed);
        List<TargetSettings> settings = new ArrayList<>();
        for (int number = 0; number < parameters.targets(); number++) {
            settings.add(settings(number));
            engines.add(new Engine(number));
        }
        for (int number = 0; number < parameters.entries(); number++) {
            entries.add(new Entry(new TargetPool(settings), policy.apply(random.split())));
        }
    }

    private TargetSettings settings(int number) {
        Address address = new Address("10." + number / 65_536 + "." + number / 256 % 256 + "." + number % 256, 9000);
        String domain = "domain-" + number % parameters.domains();
        return new TargetSettings(
                new TargetName("target-" + number), address, address, domain, true, false, 0, parameters.slots());
    }

    /** Runs the requests and returns their outcomes; a failure domain fails at the given time (negative: never). */
    List<Outcome> run(List<Demand> demand, long lossMicros) {
        for (Engine engine : engines) {
            schedule(random.nextLong(MICROS_PER_SECOND), () -> report(engine));
        }
        for (Demand each : demand) {
            schedule(each.micros() + MICROS_PER_SECOND, () -> arrive(each));
        }
        if (lossMicros >= 0) {
            schedule(lossMicros + MICROS_PER_SECOND, this::failDomain);
        }
        long end = demand.get(demand.size() - 1).micros() + 2 * MICROS_PER_SECOND;
        while (!events.isEmpty()) {
            Event event = events.poll();
            now = event.micros();
            if (now > end && running == 0) {
                break;
            }
            event.action().run();
        }
        return outcomes;
    }

    private long now;
    private int running;

    int refused() {
        return refused;
    }

    int lost() {
        return lost;
    }

    private void schedule(long micros, Runnable action) {
        events.add(new Event(micros, nextOrder++, action));
    }

    private void report(Engine engine) {
        if (engine.failed) {
            return;
        }
        Frame.TargetState state = engine.state();
        for (Entry entry : entries) {
            schedule(
                    now + NETWORK_DELAY_MICROS,
                    () -> entry.pool.targets().get(engine.number).applyReport(state, now));
        }
        schedule(now + MICROS_PER_SECOND, () -> report(engine));
    }

    private void arrive(Demand demand) {
        running++;
        Job job = new Job(demand, entries.get(random.nextInt(entries.size())));
        send(job);
    }

    private void send(Job job) {
        ContextCosts costs = new ContextCosts(parameters.prefillTokensPerSecond(), 0, 0);
        RoutingQuery query = job.demand.context() == 0
                ? RoutingQuery.withoutAffinity(job.tried)
                : new RoutingQuery(
                        Affinity.CONTEXT,
                        Hashing.mix(job.demand.context()),
                        parameters.contextTokens(),
                        costs,
                        job.tried);
        Entry entry = job.entry;
        Route route = entry.policy.choose(query, entry.pool, now).orElse(null);
        if (route == null) {
            refused++;
            running--;
            return;
        }
        job.route = route;
        job.tried.add(route.target().name());
        route.target().onDispatched(route.contextMicros());
        entry.policy.onDispatched(query, route, entry.pool, now);
        Engine engine = engines.get(entry.pool.targets().indexOf(route.target()));
        engine.jobs.add(job);
        schedule(now + NETWORK_DELAY_MICROS, () -> engine.enqueue(job));
        if (engine.failed) {
            schedule(now + LOSS_DETECTION_MICROS, () -> retry(job));
        }
    }

    private void failDomain() {
        for (Engine engine : engines) {
            if (engine.number % parameters.domains() != 0) {
                continue;
            }
            engine.failed = true;
            List<Job> cut = List.copyOf(engine.jobs);
            schedule(now + LOSS_DETECTION_MICROS, () -> {
                entries.forEach(entry -> entry.pool.targets().get(engine.number).markUnavailable());
                cut.forEach(this::retry);
            });
        }
    }

    /** Retries a request at another engine unless a part of its answer was sent. */
    private void retry(Job job) {
        if (job.firstToken) {
            lost++;
            running--;
            return;
        }
        send(job);
    }

    private static final class Entry {
        private final TargetPool pool;
        private final RoutingPolicy policy;

        Entry(TargetPool pool, RoutingPolicy policy) {
            this.pool = pool;
            this.policy = policy;
        }
    }

    private static final class Job {
        private final Demand demand;
        private final Entry entry;
        private final Set<TargetName> tried = new HashSet<>();
        private Route route;
        private boolean firstToken;

        Job(Demand demand, Entry entry) {
            this.demand = demand;
            this.entry = entry;
        }
    }

    private final class Engine {
        private final int number;
        private final Deque<Job> queue = new ArrayDeque<>();
        private final Set<Job> jobs = new HashSet<>();
        private final Map<Long, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);
        private int busy;
        private long prefillFreeMicros;
        private boolean failed;

        Engine(int number) {
            this.number = number;
        }

        private Frame.TargetState state() {
            long backlog = Math.max(0, prefillFreeMicros - now);
            long queued = queue.isEmpty() ? 0 : (queue.size() + 1) * parameters.decodeMicros() / parameters.slots();
            return new Frame.TargetState(
                    new TargetName("target-" + number),
                    true,
                    busy,
                    queue.size(),
                    backlog + queued,
                    "v1",
                    parameters.prefillTokensPerSecond(),
                    0);
        }

        private void enqueue(Job job) {
            if (failed) {
                return;
            }
            Route route = job.route;
            schedule(now + NETWORK_DELAY_MICROS, () -> route.target().onAccepted(route.contextMicros()));
            queue.add(job);
            startNext();
        }

        private void startNext() {
            while (busy < parameters.slots() && !queue.isEmpty()) {
                start(queue.poll());
            }
        }

        private void start(Job job) {
            busy++;
            long context = job.demand.context();
            boolean cached = context == 0 || cache.get(context) != null;
            int missing = cached ? 0 : parameters.contextTokens();
            if (context != 0) {
                cache.put(context, true);
            }
            if (cache.size() > parameters.cachedContexts()) {
                cache.remove(cache.keySet().iterator().next());
            }
            long compute = (missing + parameters.ownTokens()) * MICROS_PER_SECOND / parameters.prefillTokensPerSecond();
            prefillFreeMicros = Math.max(now, prefillFreeMicros) + compute;
            int tokens = (context == 0 ? 0 : parameters.contextTokens()) + parameters.ownTokens();
            schedule(prefillFreeMicros, () -> firstToken(job, tokens, missing));
            schedule(prefillFreeMicros + parameters.decodeMicros(), () -> finish(job));
        }

        private void firstToken(Job job, int tokens, int missing) {
            if (failed) {
                return;
            }
            job.firstToken = true;
            long arrived = job.demand.micros() + MICROS_PER_SECOND;
            outcomes.add(
                    new Outcome(arrived - MICROS_PER_SECOND, now + NETWORK_DELAY_MICROS - arrived, tokens, missing));
        }

        private void finish(Job job) {
            if (failed) {
                return;
            }
            busy--;
            running--;
            jobs.remove(job);
            schedule(now + NETWORK_DELAY_MICROS, () -> job.route.target().onEnded());
            job.entry.pool.recordServiceTime(now - job.demand.micros() - MICROS_PER_SECOND);
            startNext();
        }
    }
}
