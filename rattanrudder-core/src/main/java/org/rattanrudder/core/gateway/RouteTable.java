package org.rattanrudder.core.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the route of a request by its host and the longest matching path prefix.
 *
 * <p>Prefixes end with a slash, so a lookup follows the path from slash to slash as far as there are prefixes: its cost
 * grows with the length of the path and not with the number of routes.
 */
public final class RouteTable {
    private static final char SLASH = '/';

    private final Map<String, Map<String, ServiceRoute>> byHost = new HashMap<>();
    private final Map<String, Node> treeByHost = new HashMap<>();

    /** The prefixes that begin with the segments up to here. */
    private static final class Node {
        private final Map<String, Node> children = new HashMap<>();
        private ServiceRoute route;

        private void put(ServiceRoute added) {
            Node node = this;
            String prefix = added.pathPrefix();
            int start = 0;
            for (int slash = prefix.indexOf(SLASH); slash >= 0; slash = prefix.indexOf(SLASH, start)) {
                node = node.children.computeIfAbsent(prefix.substring(start, slash), unseen -> new Node());
                start = slash + 1;
            }
            // What doesn't end with a slash begins no path up to one.
            if (start == prefix.length()) {
                node.route = added;
            }
        }

        private ServiceRoute longest(String path) {
            Node node = this;
            ServiceRoute longest = null;
            int start = 0;
            for (int slash = path.indexOf(SLASH); slash >= 0; slash = path.indexOf(SLASH, start)) {
                node = node.children.get(path.substring(start, slash));
                if (node == null) {
                    return longest;
                }
                longest = node.route == null ? longest : node.route;
                start = slash + 1;
            }
            return longest;
        }
    }

    /** Creates a table; if two routes have the same host and prefix, the later one wins. */
    public RouteTable(List<ServiceRoute> routes) {
        for (ServiceRoute route : routes) {
            String host = route.host().toLowerCase(Locale.ROOT);
            byHost.computeIfAbsent(host, unseen -> new HashMap<>()).put(route.pathPrefix(), route);
            treeByHost.computeIfAbsent(host, unseen -> new Node()).put(route);
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
        Node tree = treeByHost.get(withoutPort(host).toLowerCase(Locale.ROOT));
        if (tree == null) {
            return Optional.empty();
        }
        int query = target.indexOf('?');
        return Optional.ofNullable(tree.longest(query < 0 ? target : target.substring(0, query)));
    }

    private static String withoutPort(String host) {
        int colon = host.lastIndexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }
}
