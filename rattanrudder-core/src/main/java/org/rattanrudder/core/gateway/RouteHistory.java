package org.rattanrudder.core.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Since when each route has led to one and the same service. All times are milliseconds of a monotonic clock.
 *
 * <p>A stream whose caller doesn't name its beginning may have begun at any service to which its route has led since.
 */
public final class RouteHistory {
    /** For how many of its lengths a former timeout counts: for a first request, and its caller's return. */
    private static final int COUNTED_TIMEOUTS = 2;

    private final Map<String, Entry> entries = new HashMap<>();

    private record FormerTimeout(long millis, long replacedAt) {
        boolean counts(long nowMillis) {
            return nowMillis - replacedAt <= COUNTED_TIMEOUTS * millis;
        }
    }

    private record Entry(Set<String> services, long since, long timeoutMillis, List<FormerTimeout> formerTimeouts) {
        static Entry of(ServiceRoute route, long nowMillis) {
            Set<String> services = new HashSet<>();
            route.services().forEach(each -> services.add(each.service()));
            return new Entry(services, nowMillis, route.timeoutMillis(), List.of());
        }

        Entry after(Entry before, long nowMillis) {
            long sameSince = services.equals(before.services()) ? before.since() : nowMillis;
            List<FormerTimeout> former = new ArrayList<>(before.formerTimeouts());
            if (timeoutMillis != before.timeoutMillis()) {
                former.add(new FormerTimeout(before.timeoutMillis(), nowMillis));
            }
            former.removeIf(each -> !each.counts(nowMillis));
            return new Entry(services, sameSince, timeoutMillis, former);
        }

        Entry restarted(long nowMillis) {
            return new Entry(services, nowMillis, timeoutMillis, formerTimeouts);
        }
    }

    /** Creates a history without routes. */
    public RouteHistory() {}

    /** Applies the routes of a configuration. */
    public void update(RouteTable routes, long nowMillis) {
        List<ServiceRoute> all = routes.all();
        entries.keySet().retainAll(all.stream().map(ServiceRoute::name).collect(Collectors.toSet()));
        for (ServiceRoute route : all) {
            entries.merge(route.name(), Entry.of(route, nowMillis), (before, now) -> now.after(before, nowMillis));
        }
    }

    /** Begins the history anew: to where routes led between the configurations that were read isn't known. */
    public void restart(long nowMillis) {
        entries.replaceAll((route, entry) -> entry.restarted(nowMillis));
    }

    /** Returns the only service to which a route has led since a time; empty if there were several, or if unknown. */
    public Optional<String> soleService(String route, long sinceMillis) {
        Entry entry = entries.get(route);
        return entry != null && entry.since() <= sinceMillis && entry.services().size() == 1
                ? Optional.of(entry.services().iterator().next())
                : Optional.empty();
    }

    /** Returns the longest timeout that a route has had lately, in ms; 0 if the route is unknown. */
    public long longestTimeoutMillis(String route, long nowMillis) {
        Entry entry = entries.get(route);
        if (entry == null) {
            return 0;
        }
        long former = entry.formerTimeouts().stream()
                .filter(each -> each.counts(nowMillis))
                .mapToLong(FormerTimeout::millis)
                .max()
                .orElse(0);
        return Math.max(entry.timeoutMillis(), former);
    }
}
