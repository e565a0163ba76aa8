package org.rattanrudder.core.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the route of a request by its host and the longest matching path prefix.
 *
 * <p>Prefixes end with a slash, so a lookup tries the path up to each of its slashes, from the last to the first: its
 * cost grows with the depth of the path and not with the number of routes.
 */
public final class RouteTable {
    private final Map<String, Map<String, ServiceRoute>> byHost = new HashMap<>();

    /** Creates a table; if two routes have the same host and prefix, the later one wins. */
    public RouteTable(List<ServiceRoute> routes) {
        for (ServiceRoute route : routes) {
            byHost.computeIfAbsent(route.host().toLowerCase(Locale.ROOT), unseen -> new HashMap<>())
                    .put(route.pathPrefix(), route);
        }
    }

    /** Returns all routes. */
    public List<ServiceRoute> all() {
        return byHost.values().stream()
                .flatMap(byPrefix -> byPrefix.values().stream())
                .toList();
    }

    /**
     * Returns the route of a request.
     *
     * @param host the requested host, with or without a port
     * @param target the request target: a path with or without a query
     */
    public Optional<ServiceRoute> find(String host, String target) {
        Map<String, ServiceRoute> byPrefix = byHost.get(withoutPort(host).toLowerCase(Locale.ROOT));
        if (byPrefix == null) {
            return Optional.empty();
        }
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            ServiceRoute route = byPrefix.get(path.substring(0, slash + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static String withoutPort(String host) {
        int colon = host.lastIndexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }
}
