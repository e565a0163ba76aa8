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
 * A few entries before a few engines, on a clock of its own: enough of a model to compare policies under late reports.
 * An engine computes missing context one request at a time, decodes in a fixed number of slots, and keeps the contexts
 * that were used last. Companions report each second.
 */
final class ServingModel {
    static final long SECOND = 1_000_000;
    private static final long WAY_MICROS = 500;
    private static final long LOSS_SEEN_MICROS = 800_000;

    /** Sizes of a run. */
    record Shape(
            int targets,
            int domains,
            int entries,
            int slots,
            int cachedContexts,
            int contextTokens,
            int ownTokens,
            long prefillTokensPerSecond,
            long decodeMicros) {}

    /** One request: when it comes and which context it needs; context 0 for none. */
    record Demand(long micros, long context) {}

    /** What became of a request. */
    record Outcome(long micros, long firstTokenMicros, int promptTokens, int recomputedTokens) {}

    private final Shape shape;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::micros).thenComparingLong(Event::order));
    private final List<Engine> engines = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private final List<Outcome> outcomes = new ArrayList<>();
    private long order;
    private int lost;
    private int refused;

    private record Event(long micros, long order, Runnable action) {}

    ServingModel(Shape shape, long seed, Function<SplittableRandom, RoutingPolicy> policy) {
        this.shape = shape;
        this.random = new SplittableRandom(seed);
        List<TargetSettings> settings = new ArrayList<>();
        for (int number = 0; number < shape.targets(); number++) {
            settings.add(settings(number));
            engines.add(new Engine(number));
        }
        for (int number = 0; number < shape.entries(); number++) {
            entries.add(new Entry(new TargetPool(settings), policy.apply(random.split())));
        }
    }

    private TargetSettings settings(int number) {
        Address address = new Address("10." + number / 65_536 + "." + number / 256 % 256 + "." + number % 256, 9000);
        String domain = "domain-" + number % shape.domains();
        return new TargetSettings(
                new TargetName("target-" + number), address, address, domain, true, false, 0, shape.slots());
    }

    /** Runs the demand, losing a failure domain at the given time (negative: never); returns the outcomes. */
    List<Outcome> run(List<Demand> demand, long lossMicros) {
        for (Engine engine : engines) {
            at(random.nextLong(SECOND), () -> report(engine));
        }
        for (Demand each : demand) {
            at(each.micros() + SECOND, () -> arrive(each));
        }
        if (lossMicros >= 0) {
            at(lossMicros + SECOND, this::loseDomain);
        }
        long end = demand.get(demand.size() - 1).micros() + 2 * SECOND;
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

    private void at(long micros, Runnable action) {
        events.add(new Event(micros, order++, action));
    }

    private void report(Engine engine) {
        if (engine.dead) {
            return;
        }
        Frame.TargetState state = engine.state();
        for (Entry entry : entries) {
            at(now + WAY_MICROS, () -> entry.pool.targets().get(engine.number).applyReport(state, now));
        }
        at(now + SECOND, () -> report(engine));
    }

    private void arrive(Demand demand) {
        running++;
        Job job = new Job(demand, entries.get(random.nextInt(entries.size())));
        send(job);
    }

    private void send(Job job) {
        ContextCosts costs = new ContextCosts(shape.prefillTokensPerSecond(), 0, 0);
        RoutingQuery query = job.demand.context() == 0
                ? RoutingQuery.withoutAffinity(job.tried)
                : new RoutingQuery(
                        Affinity.CONTEXT, Hashing.mix(job.demand.context()), shape.contextTokens(), costs, job.tried);
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
        at(now + WAY_MICROS, () -> engine.take(job));
        if (engine.dead) {
            at(now + LOSS_SEEN_MICROS, () -> move(job));
        }
    }

    private void loseDomain() {
        for (Engine engine : engines) {
            if (engine.number % shape.domains() != 0) {
                continue;
            }
            engine.dead = true;
            List<Job> cut = List.copyOf(engine.jobs);
            at(now + LOSS_SEEN_MICROS, () -> {
                entries.forEach(entry -> entry.pool.targets().get(engine.number).markUnavailable());
                cut.forEach(this::move);
            });
        }
    }

    /** Begins anew elsewhere if nothing of the answer had been sent. */
    private void move(Job job) {
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
        private boolean dead;

        Engine(int number) {
            this.number = number;
        }

        private Frame.TargetState state() {
            long backlog = Math.max(0, prefillFreeMicros - now);
            long queued = queue.isEmpty() ? 0 : (queue.size() + 1) * shape.decodeMicros() / shape.slots();
            return new Frame.TargetState(
                    new TargetName("target-" + number),
                    true,
                    busy,
                    queue.size(),
                    backlog + queued,
                    "v1",
                    shape.prefillTokensPerSecond(),
                    0);
        }

        private void take(Job job) {
            if (dead) {
                return;
            }
            Route route = job.route;
            at(now + WAY_MICROS, () -> route.target().accepted(route.contextMicros()));
            queue.add(job);
            startNext();
        }

        private void startNext() {
            while (busy < shape.slots() && !queue.isEmpty()) {
                start(queue.poll());
            }
        }

        private void start(Job job) {
            busy++;
            long context = job.demand.context();
            boolean cached = context == 0 || cache.get(context) != null;
            int missing = cached ? 0 : shape.contextTokens();
            if (context != 0) {
                cache.put(context, true);
            }
            if (cache.size() > shape.cachedContexts()) {
                cache.remove(cache.keySet().iterator().next());
            }
            long compute = (missing + shape.ownTokens()) * SECOND / shape.prefillTokensPerSecond();
            prefillFreeMicros = Math.max(now, prefillFreeMicros) + compute;
            int tokens = (context == 0 ? 0 : shape.contextTokens()) + shape.ownTokens();
            at(prefillFreeMicros, () -> firstToken(job, tokens, missing));
            at(prefillFreeMicros + shape.decodeMicros(), () -> finish(job));
        }

        private void firstToken(Job job, int tokens, int missing) {
            if (dead) {
                return;
            }
            job.firstToken = true;
            long arrived = job.demand.micros() + SECOND;
            outcomes.add(new Outcome(arrived - SECOND, now + WAY_MICROS - arrived, tokens, missing));
        }

        private void finish(Job job) {
            if (dead) {
                return;
            }
            busy--;
            running--;
            jobs.remove(job);
            at(now + WAY_MICROS, () -> job.route.target().ended());
            job.entry.pool.recordServiceTime(now - job.demand.micros() - SECOND);
            startNext();
        }
    }
}
