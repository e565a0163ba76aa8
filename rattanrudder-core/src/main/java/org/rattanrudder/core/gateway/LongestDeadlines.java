package org.rattanrudder.core.gateway;

import java.util.HashMap;
import java.util.Map;

/**
 * The longest time that callers of each route have lately wanted to wait for a response.
 *
 * <p>A caller may resume its stream until the deadline of its first request, which its later requests don't name. All
 * times are milliseconds of a monotonic clock.
 */
public final class LongestDeadlines {
    /** How long a deadline is remembered: one odd caller must not count for all others for good. */
    static final long REMEMBERED_MILLIS = 600_000;

    private final Map<String, Longest> longest = new HashMap<>();

    /** A deadline, and when a request named it. */
    private record Longest(long millis, long at) {}

    /** Records the deadline of a request, in ms from its arrival. */
    public void record(String route, long deadlineMillis, long nowMillis) {
        Longest now = new Longest(Math.min(deadlineMillis, REMEMBERED_MILLIS), nowMillis);
        longest.merge(
                route,
                now,
                (known, other) ->
                        known.millis() > other.millis() && nowMillis - known.at() < REMEMBERED_MILLIS ? known : other);
    }

    /** Returns the longest deadline that is remembered of a route, in ms; 0 if there is none. */
    public long millis(String route, long nowMillis) {
        Longest known = longest.get(route);
        return known == null || nowMillis - known.at() >= REMEMBERED_MILLIS ? 0 : known.millis();
    }
}
