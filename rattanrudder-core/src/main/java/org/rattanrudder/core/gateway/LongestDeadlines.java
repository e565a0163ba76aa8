package org.rattanrudder.core.gateway;

import java.util.HashMap;
import java.util.Map;

/**
 * The longest time that each customer's callers of a route have lately wanted to wait for a response.
 *
 * <p>A caller may resume its stream until the deadline of its first request, which its later requests don't name. A
 * customer's long deadlines don't count for others. All times are milliseconds of a monotonic clock.
 */
public final class LongestDeadlines {
    /** How long a deadline is remembered at least, and the longest that counts. */
    static final long REMEMBERED_MILLIS = 600_000;

    private final Map<Key, Longest> longest = new HashMap<>();

    private record Key(String route, String customer) {}

    /**
     * The longest deadline of a period, and of the one before it: a deadline that ends with a period would be missing
     * right after it.
     */
    private record Longest(long periodFrom, long millis, long before) {
        Longest at(long nowMillis) {
            long age = nowMillis - periodFrom;
            if (age < REMEMBERED_MILLIS) {
                return this;
            }
            return new Longest(nowMillis, 0, age < 2 * REMEMBERED_MILLIS ? millis : 0);
        }

        Longest with(long other) {
            return new Longest(periodFrom, Math.max(millis, other), before);
        }
    }

    /** Records the deadline of a request, in ms from its arrival; the customer is empty if the route is open to all. */
    public void record(String route, String customer, long deadlineMillis, long nowMillis) {
        Key key = new Key(route, customer);
        if (!longest.containsKey(key)) {
            longest.values().removeIf(known -> nowMillis - known.periodFrom() >= 2 * REMEMBERED_MILLIS);
        }
        Longest known = longest.getOrDefault(key, new Longest(nowMillis, 0, 0));
        longest.put(key, known.at(nowMillis).with(Math.min(deadlineMillis, REMEMBERED_MILLIS)));
    }

    /** Returns the longest deadline that is remembered, in ms; 0 if there is none. */
    public long millis(String route, String customer, long nowMillis) {
        Longest known = longest.getOrDefault(new Key(route, customer), new Longest(nowMillis, 0, 0))
                .at(nowMillis);
        return Math.max(known.millis(), known.before());
    }
}
