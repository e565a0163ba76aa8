package org.rattanrudder.core.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Selects the engines that load the newest weights next.
 *
 * <p>Concurrent loads beyond a limit slow each other down, and an engine serves no requests while it loads. So only as
 * many engines are ordered as can load at full speed, and the next one as soon as one of them is done. Running requests
 * continue across the load: if they had to finish first, an engine would be idle for longer than it loads.
 *
 * <p>An engine counts as loading until it serves the version, or until its order times out. An engine whose order got
 * no response may load at any time or never, so it doesn't count against the limit. Engines that have left the fewest
 * orders without a response go first: others would wait behind those that never respond. An engine that didn't even
 * report before it was ordered counts as one that left an order without a response. Then come those with the
 * oldest weights, since the time for which these may be used ends first, then those with the fewest requests.
 */
public final class RolloutPlanner {
    /**
     * When an order that was accepted but shows no effect is sent again. Loads take one or two seconds, and a multiple
     * of that when many engines load.
     */
    public static final long ORDER_TIMEOUT_MILLIS = 6_000;

    /**
     * When an order that got no response is sent again. The engine may still execute the first one seconds later; the
     * precondition on the engine's order count makes the second one harmless.
     */
    static final long UNANSWERED_TIMEOUT_MILLIS = 2_000;

    /**
     * The same for an engine whose last orders got no response one after the other. It serves old weights for longer
     * than others already, and a response that comes at all comes within this time.
     */
    static final long REPEATED_UNANSWERED_TIMEOUT_MILLIS = 1_000;

    /**
     * The share of a service's engines that may load concurrently without slowing each other down. Weights come from a
     * store whose rate grows with the service.
     */
    private static final double MAX_LOADING_SHARE = 0.28;

    private static final int MIN_LOADING = 2;

    private final Map<String, Order> orders = new HashMap<>();

    /**
     * An engine as the planner sees it.
     *
     * @param id the id of its incarnation
     * @param weights the version that it serves; 0 if unknown
     * @param inFlight the number of its requests, as far as known
     * @param byOther what another process that sends orders may have done to it
     */
    public record Engine(String id, long weights, int inFlight, OtherOrder byOther) {
        /** Creates an engine that no other process may have ordered lately. */
        public Engine(String id, long weights, int inFlight) {
            this(id, weights, inFlight, OtherOrder.NONE);
        }
    }

    /** What another process that sends orders may have done to an engine. */
    public enum OtherOrder {
        NONE,
        /** It may have ordered the engine too lately for an order of this process. */
        RECENT,
        /** The same, and the engine is said to load. */
        LOADING
    }

    /** What is known of an order. */
    private enum Progress {
        /** It was sent, and wasn't left without a response. */
        SENT,
        UNANSWERED,
        /** It wasn't sent, since the engine gave no report. */
        NOT_REPORTED,
        /** It got no response, but the engine has reported since that it is loading. */
        LOADING_LATE
    }

    /**
     * An order that was sent.
     *
     * @param version the version to load
     * @param sentAtMillis when it was sent, or when the engine last reported that it loads late
     * @param progress what is known of it
     * @param unansweredBefore how many orders to the engine just before it got no response
     */
    private record Order(long version, long sentAtMillis, Progress progress, int unansweredBefore) {
        boolean isPending(Engine engine, long nowMillis) {
            return engine.weights() < version && nowMillis - sentAtMillis < timeoutMillis();
        }

        private long timeoutMillis() {
            if (isAnswered()) {
                return ORDER_TIMEOUT_MILLIS;
            }
            if (progress == Progress.NOT_REPORTED) {
                return Math.min(ORDER_TIMEOUT_MILLIS, (unansweredBefore + 1) * REPEATED_UNANSWERED_TIMEOUT_MILLIS);
            }
            return unansweredBefore == 0 ? UNANSWERED_TIMEOUT_MILLIS : REPEATED_UNANSWERED_TIMEOUT_MILLIS;
        }

        boolean isAnswered() {
            return progress == Progress.SENT;
        }

        int unansweredInARow() {
            return isAnswered() ? 0 : unansweredBefore + 1;
        }
    }

    /** Returns the engines of one service to order now, without exceeding the limit on concurrent loads. */
    public List<Engine> nextEngines(List<Engine> engines, long newest, long nowMillis) {
        Set<String> present = new HashSet<>();
        int loading = 0;
        List<Engine> waiting = new ArrayList<>();
        for (Engine engine : engines) {
            present.add(engine.id());
            Order order = orders.get(engine.id());
            if (order != null && order.isPending(engine, nowMillis)) {
                loading += order.isAnswered() ? 1 : 0;
            } else if (engine.weights() < newest) {
                loading += engine.byOther() == OtherOrder.LOADING ? 1 : 0;
                waiting.add(engine);
            }
        }
        orders.keySet().retainAll(present);
        waiting.removeIf(engine -> engine.byOther() != OtherOrder.NONE);
        waiting.sort(Comparator.comparingInt((Engine engine) -> unansweredInARow(engine.id(), newest))
                .thenComparingLong(Engine::weights)
                .thenComparingInt(Engine::inFlight)
                .thenComparing(Engine::id));
        int room = Math.max(MIN_LOADING, (int) (engines.size() * MAX_LOADING_SHARE)) - loading;
        return List.copyOf(waiting.subList(0, Math.min(waiting.size(), Math.max(0, room))));
    }

    /** Returns whether the engine was the last time asked or ordered in vain. */
    public boolean isUnanswered(String id, long version) {
        return unansweredInARow(id, version) > 0;
    }

    private int unansweredInARow(String id, long version) {
        Order last = orders.get(id);
        return last == null || last.version() != version ? 0 : last.unansweredInARow();
    }

    /** Records that an order is being sent to an engine. */
    public void onOrdered(String id, long version, long nowMillis) {
        orders.put(id, new Order(version, nowMillis, Progress.SENT, unansweredInARow(id, version)));
    }

    /** Records that an order got no response. */
    public void onUnanswered(String id) {
        orders.computeIfPresent(
                id,
                (same, order) -> new Order(
                        order.version(), order.sentAtMillis(), Progress.UNANSWERED, order.unansweredBefore()));
    }

    /**
     * Records that an engine gave no report, without which it isn't ordered. It may be none at all: others go first,
     * and it is asked again ever more rarely.
     */
    public void onNotReported(String id, long version, long nowMillis) {
        orders.put(id, new Order(version, nowMillis, Progress.NOT_REPORTED, unansweredInARow(id, version)));
    }

    /** Records that an engine refused its order, so that it can be ordered again. */
    public void onRefused(String id) {
        orders.remove(id);
    }

    /**
     * Records that an engine reports that it is loading. If no accepted order explains it, one without a response has
     * arrived late: the engine leaves its place among the next to others, and doesn't count against the limit.
     */
    public void onLoading(String id, long version, long nowMillis) {
        Order last = orders.get(id);
        if (last == null || last.version() != version || !last.isAnswered()) {
            orders.put(id, new Order(version, nowMillis, Progress.LOADING_LATE, 0));
        }
    }

    /**
     * Records that an engine reports that it isn't loading: it can be ordered again, unless it may still execute an
     * order that got no response.
     */
    public void onNotLoading(String id) {
        orders.computeIfPresent(
                id,
                (same, order) -> order.progress() == Progress.UNANSWERED || order.progress() == Progress.NOT_REPORTED
                        ? order
                        : null);
    }
}
