package org.rattanrudder.core.routing;

import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Picks the target with the least estimated time to the first token among a few: those that are likely to hold the
 * context, the next that would, and one at random.
 *
 * <p>A context's home is computed from its key, so that it is found again after any silence and by every entry with
 * nothing kept for it. A context that fills its holders gets one more before they are full: a single request carries
 * it there, and the others follow when it is computed.
 */
public final class AffinityPolicy implements RoutingPolicy {
    /** What another failure domain costs, in microseconds: a way there and back. */
    static final long DOMAIN_MICROS = 1_000;

    /** What a full target counts for against an idle one, so that equals share the load before any has a queue. */
    private static final long LOAD_MICROS = 10_000;

    private static final int DRAWN = 3;
    private static final long LEAVING_MICROS = 60_000_000;
    /**
     * Computing context anew delays those behind it as well, by more than it saves the one: where many do it at once,
     * targets are busy with that alone. So it has to save this many times its own cost beyond paying for itself.
     */
    private static final long SPILL = 4;

    private static final int DRAWS = 8;
    private static final int COMPARED_HOLDERS = 4;

    private final String failureDomain;
    private final RandomGenerator random;
    private final HotContexts contexts;
    private final ReplicaControl replicas = new ReplicaControl();

    /**
     * Creates a policy.
     *
     * @param failureDomain where the entry stands; its targets are preferred where all else is equal
     * @param random draws the targets that are compared
     */
    public AffinityPolicy(String failureDomain, RandomGenerator random) {
        this.failureDomain = failureDomain;
        this.random = random;
        this.contexts = new HotContexts(random);
    }

    @Override
    public Optional<Route> choose(RoutingQuery query, TargetPool pool, long nowMicros) {
        return switch (query.affinity()) {
            case KEY -> home(query, pool, nowMicros);
            case CONTEXT -> byContext(query, pool, nowMicros);
            case NONE -> byWait(query, pool, nowMicros);
        };
    }

    @Override
    public void onDispatched(RoutingQuery query, Route route, TargetPool pool, long nowMicros) {
        if (query.affinity() != Affinity.CONTEXT) {
            return;
        }
        HotContext context = contexts.count(query.key(), pool, nowMicros);
        context.sentTo(route.target(), route.contextMicros(), nowMicros);
        replicas.adjust(context, pool, nowMicros);
    }

    /** Returns how many targets a context is meant to be held by at present. */
    int replicas(long key, TargetPool pool) {
        return contexts.find(key, pool).map(HotContext::replicas).orElse(1);
    }

    /** Repeats of a key meet the same companion as long as it takes work, whatever its queue. */
    private Optional<Route> home(RoutingQuery query, TargetPool pool, long nowMicros) {
        RendezvousOrder.Walk walk = pool.order().walk(query.key());
        RoutableTarget target = nextEligible(walk, query, nowMicros);
        return Optional.ofNullable(target).map(found -> route(found, 0, pool, "home of the key", nowMicros));
    }

    private Optional<Route> byWait(RoutingQuery query, TargetPool pool, long nowMicros) {
        Best best = new Best();
        for (int sample = 0; sample < DRAWN; sample++) {
            RoutableTarget target = draw(query, pool, nowMicros);
            if (target != null) {
                best.weigh(route(target, 0, pool, "the shorter wait of two drawn at random", nowMicros));
            }
        }
        return best.found();
    }

    private Optional<Route> byContext(RoutingQuery query, TargetPool pool, long nowMicros) {
        Optional<HotContext> known = contexts.find(query.key(), pool);
        Best best = new Best();
        if (known.isEmpty()) {
            weighHome(query, pool, best, nowMicros);
        } else {
            Optional<Route> newHolder = weighHolders(known.get(), query, pool, best, nowMicros);
            if (newHolder.isPresent()) {
                return newHolder;
            }
        }
        return best.found();
    }

    private void weighHome(RoutingQuery query, TargetPool pool, Best best, long nowMicros) {
        RendezvousOrder.Walk walk = pool.order().walk(query.key());
        RoutableTarget home = nextEligible(walk, query, nowMicros);
        if (home == null) {
            return;
        }
        best.weigh(route(home, 0, pool, "home of the context", nowMicros));
        RoutableTarget second = nextEligible(walk, query, nowMicros);
        if (second != null) {
            long missing = second.missingContextMicros(query.contextTokens(), query.costs());
            best.weigh(route(second, missing, pool, "second home, as the first is busy", nowMicros), SPILL * missing);
        }
    }

    /** Weighs the context's holders; returns one that is to get the context now, if there is one. */
    private Optional<Route> weighHolders(
            HotContext context, RoutingQuery query, TargetPool pool, Best best, long nowMicros) {
        int count = context.replicas();
        boolean all = count <= COMPARED_HOLDERS;
        int eligible = 0;
        for (int look = 0; look < (all ? pool.targets().size() : COMPARED_HOLDERS) && eligible < count; look++) {
            HotContext.Holder holder = context.holder(all ? look : random.nextInt(count), pool);
            if (holder == null) {
                break;
            }
            if (!mayTake(holder.target, query, nowMicros)) {
                continue;
            }
            eligible++;
            long missing = holder.target.missingContextMicros(query.contextTokens(), query.costs());
            if (!holder.isKnown() && eligible > 1) {
                return Optional.of(route(holder.target, missing, pool, "a new holder of a hot context", nowMicros));
            }
            long left = holder.isKnown() ? Math.min(missing, Math.max(0, holder.warmMicros - nowMicros)) : 0;
            best.weigh(route(holder.target, left, pool, "holds the context", nowMicros));
        }
        HotContext.Holder next = context.holder(count, pool);
        if (next != null && mayTake(next.target, query, nowMicros)) {
            long missing = next.target.missingContextMicros(query.contextTokens(), query.costs());
            best.weigh(route(next.target, missing, pool, "holders are busy", nowMicros), SPILL * missing);
        }
        return Optional.empty();
    }

    private Route route(RoutableTarget target, long contextMicros, TargetPool pool, String reason, long nowMicros) {
        return new Route(target, target.waitMicros(pool.serviceMicros(), nowMicros), contextMicros, reason);
    }

    private static boolean mayTake(RoutableTarget target, RoutingQuery query, long nowMicros) {
        return target.isEligible(nowMicros) && !query.tried().contains(target.name());
    }

    private static RoutableTarget nextEligible(RendezvousOrder.Walk walk, RoutingQuery query, long nowMicros) {
        RoutableTarget target = walk.next();
        while (target != null && !mayTake(target, query, nowMicros)) {
            target = walk.next();
        }
        return target;
    }

    /** Draws an eligible target at random; null if there is none. */
    private RoutableTarget draw(RoutingQuery query, TargetPool pool, long nowMicros) {
        int size = pool.targets().size();
        for (int draw = 0; draw < DRAWS; draw++) {
            RoutableTarget target = pool.targets().get(random.nextInt(size));
            if (mayTake(target, query, nowMicros)) {
                return target;
            }
        }
        int start = random.nextInt(size);
        for (int step = 0; step < size; step++) {
            RoutableTarget target = pool.targets().get((start + step) % size);
            if (mayTake(target, query, nowMicros)) {
                return target;
            }
        }
        return null;
    }

    /** The best of the routes that were weighed; of equals the first. */
    private final class Best {
        private Route best;
        private long bestCost;

        void weigh(Route route) {
            weigh(route, 0);
        }

        /** Weighs a route that causes others a further wait. */
        void weigh(Route route, long othersMicros) {
            long cost = cost(route) + othersMicros;
            if (best == null || cost < bestCost) {
                best = route;
                bestCost = cost;
            }
        }

        Optional<Route> found() {
            return Optional.ofNullable(best);
        }

        private long cost(Route route) {
            RoutableTarget target = route.target();
            long domain = target.failureDomain().equals(failureDomain) ? 0 : DOMAIN_MICROS;
            long load = (long) (LOAD_MICROS * target.utilisation());
            return route.estimateMicros() + domain + load + (target.isListedLeaving() ? LEAVING_MICROS : 0);
        }
    }
}
