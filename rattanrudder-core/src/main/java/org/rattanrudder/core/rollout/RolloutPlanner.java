package org.rattanrudder.core.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Picks the engines that load the newest weights next.
 *
 * <p>Loads slow each other down beyond a number at once, and an engine that loads serves nobody, so as many are
 * ordered as load at full speed, and the next as soon as one of them is done. Runs go on across the load: if they had
 * to end first, an engine would stand by for longer than it loads.
 *
 * <p>An engine counts as loading until it serves the version, or until its order must be taken for lost. One whose
 * order got no answer may load at any time or never: it doesn't keep others waiting. Those with the oldest weights go
 * first, since their time runs out first, and then those with the least work.
 */
public final class RolloutPlanner {
    /**
     * When an order that was taken, but whose effect isn't seen, is given again, in ms. Loads take one or two seconds,
     * and some times that when many engines load.
     */
    public static final long ORDER_TIMEOUT_MILLIS = 6_000;

    /**
     * When an order that got no answer is given again, in ms. It may be carried out seconds later; the precondition on
     * the engine's count of orders keeps a repeat harmless.
     */
    static final long UNANSWERED_MILLIS = 2_000;

    /**
     * The part of a service's engines that may load at once, and the least number. Weights come from a store whose rate
     * grows with the service: two of six or eight engines load without slowing each other, ten of 35, eleven of 40.
     */
    private static final double LOADING_SHARE = 0.28;

    private static final int LEAST_LOADING = 2;

    private final Map<String, Order> orders = new HashMap<>();

    /**
     * An engine as the plan sees it.
     *
     * @param id its incarnation
     * @param weights the version that it serves; 0 if unknown
     * @param inFlight the requests that it works on, as far as known
     */
    public record Engine(String id, long weights, int inFlight) {}

    /** An order that was given, for which version and when, and whether the engine has taken it as far as known. */
    private record Order(long version, long givenAtMillis, boolean unanswered) {
        boolean mayLoad(Engine engine, long nowMillis) {
            long waited = nowMillis - givenAtMillis;
            return engine.weights() < version && waited < (unanswered ? UNANSWERED_MILLIS : ORDER_TIMEOUT_MILLIS);
        }
    }

    /** Returns the engines of one service to order now, at most as many as may load beside those that already do. */
    public List<Engine> nextEngines(List<Engine> engines, long newest, long nowMillis) {
        Set<String> present = new HashSet<>();
        int loading = 0;
        List<Engine> waiting = new ArrayList<>();
        for (Engine engine : engines) {
            present.add(engine.id());
            Order order = orders.get(engine.id());
            if (order != null && order.mayLoad(engine, nowMillis)) {
                loading += order.unanswered() ? 0 : 1;
            } else if (engine.weights() < newest) {
                waiting.add(engine);
            }
        }
        orders.keySet().retainAll(present);
        waiting.sort(Comparator.comparingLong(Engine::weights)
                .thenComparingInt(Engine::inFlight)
                .thenComparing(Engine::id));
        int room = Math.max(LEAST_LOADING, (int) (engines.size() * LOADING_SHARE)) - loading;
        return List.copyOf(waiting.subList(0, Math.min(waiting.size(), Math.max(0, room))));
    }

    /** Notes that an engine is being ordered. */
    public void onOrdered(String id, long version, long nowMillis) {
        orders.put(id, new Order(version, nowMillis, false));
    }

    /** Notes that an order got no answer. */
    public void onUnanswered(String id) {
        orders.computeIfPresent(id, (same, order) -> new Order(order.version(), order.givenAtMillis(), true));
    }

    /** Notes that an engine refused its order or didn't carry it out, so that it can be ordered again. */
    public void onRefused(String id) {
        orders.remove(id);
    }
}
