package org.rattanrudder.core.routing;

import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Picks the target with the lowest estimated time to the first token among a few candidates.
 *
 * <p>For a request with a context, the candidates are the targets that are likely to have it cached and the next one
 * in its rendezvous order. For a request without affinity they are drawn at random.
 *
 * <p>A context's home is computed from its key. Every entry therefore finds the same home, however long ago the
 * context was last used, and keeps no state for it. A context that is used often gets another holder before its
 * holders are full: one request takes the context there, and others follow once it is computed.
 */
public final class AffinityPolicy implements RoutingPolicy {
    /** Penalty for a target in another failure domain, in microseconds: one network round trip. */
    static final long REMOTE_DOMAIN_PENALTY_MICROS = 1_000;

    /**
     * Penalty for a fully utilized target, in proportion for others, in microseconds. Otherwise equal targets share the
     * load before any of them has a queue.
     */
    private static final long LOAD_PENALTY_MICROS = 10_000;

    private static final int RANDOM_CANDIDATES = 3;
    private static final long LEAVING_PENALTY_MICROS = 60_000_000;
    /**
     * A context is computed on a further target only if this saves the request that many times the cost of computing
     * it, on top of that cost. Computing a context again also delays the requests queued behind, by more than the one
     * request gains; if many requests did so at once, targets would do nothing but recompute contexts.
     */
    private static final long SPILL_COST_FACTOR = 4;

    private static final int MAX_RANDOM_DRAWS = 8;
    private static final int MAX_COMPARED_HOLDERS = 4;

    private final String failureDomain;
    private final RandomGenerator random;
    private final HotContexts contexts;
    private final ReplicaController replicas = new ReplicaController();

    /**
     * Creates a policy.
     *
     * @param failureDomain the entry's failure domain; its targets are preferred where all else is equal
     * @param random source of randomness for drawing candidates
     */
    public AffinityPolicy(String failureDomain, RandomGenerator random) {
        this.failureDomain = failureDomain;
        this.random = random;
        this.contexts = new HotContexts(random);
    }

    @Override
    public Optional<Route> choose(RoutingQuery query, TargetPool pool, long nowMicros) {
        return switch (query.affinity()) {
            case KEY -> chooseByKey(query, pool, nowMicros);
            case CONTEXT -> chooseByContext(query, pool, nowMicros);
            case NONE -> chooseByWait(query, pool, nowMicros);
        };
    }

    @Override
    public void onDispatched(RoutingQuery query, Route route, TargetPool pool, long nowMicros) {
        if (query.affinity() != Affinity.CONTEXT) {
            return;
        }
        HotContext context = contexts.recordRequest(query.key(), pool, nowMicros);
        context.onSent(route.target(), route.contextMicros(), nowMicros);
        replicas.adjust(context, pool, nowMicros);
    }

    /** Returns the current number of replicas that the context should have. */
    int replicas(long key, TargetPool pool) {
        return contexts.find(key, pool).map(HotContext::replicas).orElse(1);
    }

    /** Routes repeated calls with one key to the same companion as long as it accepts work, however long its queue. */
    private Optional<Route> chooseByKey(RoutingQuery query, TargetPool pool, long nowMicros) {
        RendezvousOrder.Walk walk = pool.order().walk(query.key());
        RoutableTarget target = nextEligible(walk, query, nowMicros);
        return Optional.ofNullable(target).map(found -> route(found, 0, pool, "home of the key", nowMicros));
    }

    private Optional<Route> chooseByWait(RoutingQuery query, TargetPool pool, long nowMicros) {
        BestRoute best = new BestRoute();
        for (int sample = 0; sample < RANDOM_CANDIDATES; sample++) {
            RoutableTarget target = drawCandidate(query, pool, nowMicros);
            if (target != null) {
                best.consider(route(target, 0, pool, "the shorter wait of two drawn at random", nowMicros));
            }
        }
        return best.result();
    }

    private Optional<Route> chooseByContext(RoutingQuery query, TargetPool pool, long nowMicros) {
        Optional<HotContext> context = contexts.find(query.key(), pool);
        BestRoute best = new BestRoute();
        if (context.isEmpty()) {
            considerHome(query, pool, best, nowMicros);
        } else {
            Optional<Route> newHolder = considerHolders(context.get(), query, pool, best, nowMicros);
            if (newHolder.isPresent()) {
                return newHolder;
            }
        }
        return best.result();
    }

    private void considerHome(RoutingQuery query, TargetPool pool, BestRoute best, long nowMicros) {
        RendezvousOrder.Walk walk = pool.order().walk(query.key());
        RoutableTarget home = nextEligible(walk, query, nowMicros);
        if (home == null) {
            return;
        }
        best.consider(route(home, 0, pool, "home of the context", nowMicros));
        RoutableTarget second = nextEligible(walk, query, nowMicros);
        if (second != null) {
            long missingMicros = second.missingContextMicros(query.contextTokens(), query.costs());
            best.consider(
                    route(second, missingMicros, pool, "second home, as the first is busy", nowMicros),
                    SPILL_COST_FACTOR * missingMicros);
        }
    }

    /** Considers the context's holders; returns a route to one that doesn't have the context yet, if there is one. */
    private Optional<Route> considerHolders(
            HotContext context, RoutingQuery query, TargetPool pool, BestRoute best, long nowMicros) {
        int count = context.replicas();
        boolean compareAll = count <= MAX_COMPARED_HOLDERS;
        int eligible = 0;
        for (int index = 0;
                index < (compareAll ? pool.targets().size() : MAX_COMPARED_HOLDERS) && eligible < count;
                index++) {
            HotContext.Holder holder = context.holder(compareAll ? index : random.nextInt(count), pool);
            if (holder == null) {
                break;
            }
            if (!isCandidate(holder.target, query, nowMicros)) {
                continue;
            }
            eligible++;
            long missingMicros = holder.target.missingContextMicros(query.contextTokens(), query.costs());
            if (!holder.wasSentContext() && eligible > 1) {
                return Optional.of(
                        route(holder.target, missingMicros, pool, "a new holder of a hot context", nowMicros));
            }
            long remainingMicros =
                    holder.wasSentContext() ? Math.min(missingMicros, Math.max(0, holder.warmAtMicros - nowMicros)) : 0;
            best.consider(route(holder.target, remainingMicros, pool, "holds the context", nowMicros));
        }
        HotContext.Holder next = context.holder(count, pool);
        if (next != null && isCandidate(next.target, query, nowMicros)) {
            long missingMicros = next.target.missingContextMicros(query.contextTokens(), query.costs());
            best.consider(
                    route(next.target, missingMicros, pool, "holders are busy", nowMicros),
                    SPILL_COST_FACTOR * missingMicros);
        }
        return Optional.empty();
    }

    private Route route(RoutableTarget target, long contextMicros, TargetPool pool, String reason, long nowMicros) {
        return new Route(target, target.waitMicros(pool.serviceMicros(), nowMicros), contextMicros, reason);
    }

    private static boolean isCandidate(RoutableTarget target, RoutingQuery query, long nowMicros) {
        return target.isEligible(nowMicros) && !query.tried().contains(target.name());
    }

    private static RoutableTarget nextEligible(RendezvousOrder.Walk walk, RoutingQuery query, long nowMicros) {
        RoutableTarget target = walk.next();
        while (target != null && !isCandidate(target, query, nowMicros)) {
            target = walk.next();
        }
        return target;
    }

    /** Draws a candidate at random; returns null if there is none. */
    private RoutableTarget drawCandidate(RoutingQuery query, TargetPool pool, long nowMicros) {
        int size = pool.targets().size();
        for (int draw = 0; draw < MAX_RANDOM_DRAWS; draw++) {
            RoutableTarget target = pool.targets().get(random.nextInt(size));
            if (isCandidate(target, query, nowMicros)) {
                return target;
            }
        }
        int start = random.nextInt(size);
        for (int step = 0; step < size; step++) {
            RoutableTarget target = pool.targets().get((start + step) % size);
            if (isCandidate(target, query, nowMicros)) {
                return target;
            }
        }
        return null;
    }

    /** Keeps the route with the lowest cost; of equal ones the first. */
    private final class BestRoute {
        private Route best;
        private long bestCost;

        void consider(Route route) {
            consider(route, 0);
        }

        /** Considers a route that makes other requests wait longer by the given time. */
        void consider(Route route, long othersWaitMicros) {
            long cost = cost(route) + othersWaitMicros;
            if (best == null || cost < bestCost) {
                best = route;
                bestCost = cost;
            }
        }

        Optional<Route> result() {
            return Optional.ofNullable(best);
        }

        private long cost(Route route) {
            RoutableTarget target = route.target();
            long domain = target.failureDomain().equals(failureDomain) ? 0 : REMOTE_DOMAIN_PENALTY_MICROS;
            long load = (long) (LOAD_PENALTY_MICROS * target.utilization());
            return route.estimateMicros() + domain + load + (target.isListedLeaving() ? LEAVING_PENALTY_MICROS : 0);
        }
    }
}
