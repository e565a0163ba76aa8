package org.rattanrudder.core.gateway;

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
    private final Map<String, Entry> entries = new HashMap<>();

    private record Entry(Set<String> services, long since) {}

    /** Creates a history without routes. */
    public RouteHistory() {}

    /** Applies the routes of a configuration. */
    public void update(RouteTable routes, long nowMillis) {
        List<ServiceRoute> all = routes.all();
        entries.keySet().retainAll(all.stream().map(ServiceRoute::name).collect(Collectors.toSet()));
        for (ServiceRoute route : all) {
            Set<String> services = new HashSet<>();
            route.services().forEach(each -> services.add(each.service()));
            entries.merge(
                    route.name(),
                    new Entry(services, nowMillis),
                    (before, now) -> before.services().equals(services) ? before : now);
        }
    }

    /** Returns the only service to which a route has led since a time; empty if there were several, or if unknown. */
    public Optional<String> soleService(String route, long sinceMillis) {
        Entry entry = entries.get(route);
        return entry != null && entry.since() <= sinceMillis && entry.services().size() == 1
                ? Optional.of(entry.services().iterator().next())
                : Optional.empty();
    }
}
