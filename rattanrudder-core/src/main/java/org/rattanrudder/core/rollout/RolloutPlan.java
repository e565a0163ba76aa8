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
 * <p>Loads slow each other down beyond a number at once. An engine that was ordered first ends its runs, which takes
 * seconds, and loads then; so a few more engines than may load are ordered, to end their runs while others load. An
 * engine counts as ordered until it serves the version, or until the order must be taken for lost. Those with the
 * oldest weights go first, since their time runs out first, and then those with the least work.
 */
public final class RolloutPlan {
    /**
     * When an order whose effect isn't seen is given again, in ms. Orders without an answer may be carried out seconds
     * later; the precondition on the engine's count of orders keeps a repeat harmless.
     */
    public static final long LOST_MILLIS = 6_000;

    /**
     * The part of a service's engines that may load at once, and the least number. Weights come from a store whose rate
     * grows with the service: two of six or eight engines load without slowing each other, ten of 35, eleven of 40.
     */
    private static final double LOADING_SHARE = 0.28;

    private static final int LEAST_LOADING = 2;

    /** The part of the engines that end their runs while others load, and the least number. */
    private static final double ENDING_SHARE = 0.1;

    private static final int LEAST_ENDING = 1;

    private final Map<String, Order> orders = new HashMap<>();

    /**
     * An engine as the plan sees it.
     *
     * @param id its incarnation
     * @param weights the version that it serves; 0 if unknown
     * @param inFlight the requests that it works on, as far as known
     */
    public record Engine(String id, long weights, int inFlight) {}

    /**
     * An order that was given.
     *
     * @param version the version that it asks for
     * @param givenAtMillis when
     */
    public record Order(long version, long givenAtMillis) {}

    /** Returns the engines of one service to order now, at most as many as may load beside those that already do. */
    public List<Engine> next(List<Engine> engines, long newest, long nowMillis) {
        Set<String> present = new HashSet<>();
        int ordered = 0;
        int loading = 0;
        List<Engine> waiting = new ArrayList<>();
        for (Engine engine : engines) {
            present.add(engine.id());
            Order order = orders.get(engine.id());
            boolean underWay = order != null
                    && engine.weights() < order.version()
                    && nowMillis - order.givenAtMillis() < LOST_MILLIS;
            if (underWay) {
                ordered++;
                loading += engine.inFlight() == 0 ? 1 : 0;
            } else if (engine.weights() < newest) {
                waiting.add(engine);
            }
        }
        orders.keySet().retainAll(present);
        waiting.sort(Comparator.comparingLong(Engine::weights)
                .thenComparingInt(Engine::inFlight)
                .thenComparing(Engine::id));
        int mayLoad = Math.max(LEAST_LOADING, (int) (engines.size() * LOADING_SHARE));
        int mayEnd = Math.max(LEAST_ENDING, (int) (engines.size() * ENDING_SHARE));
        int room = Math.min(mayLoad + mayEnd - ordered, mayLoad - loading);
        return List.copyOf(waiting.subList(0, Math.min(waiting.size(), Math.max(0, room))));
    }

    /** Notes that an engine was ordered. */
    public void ordered(String id, long version, long nowMillis) {
        orders.put(id, new Order(version, nowMillis));
    }

    /** Notes that an engine refused its order, so that it can be ordered again. */
    public void refused(String id) {
        orders.remove(id);
    }

    /** Returns the engines that were ordered lately. */
    public List<String> ordered(long nowMillis) {
        return orders.entrySet().stream()
                .filter(entry -> nowMillis - entry.getValue().givenAtMillis() < LOST_MILLIS)
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }
}
