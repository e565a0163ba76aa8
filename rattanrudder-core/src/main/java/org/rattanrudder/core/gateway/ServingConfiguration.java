package org.rattanrudder.core.gateway;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.rattanrudder.core.model.ErrorKind;

/**
 * One immutable version of the desired configuration.
 *
 * <pre>{@code
 * AccessDecision decision = configuration.authorize(host, path, Optional.of(credential));
 * }</pre>
 *
 * @param version increases with each change, not always by one
 * @param routes the routes of requests
 * @param services the services by name
 * @param stores the stores of cached context
 * @param limits the limits for callers
 * @param customers the customers by credential; empty if no route requires one
 */
public record ServingConfiguration(
        long version,
        RouteTable routes,
        Map<String, BackendService> services,
        List<ContextStore> stores,
        CallerLimits limits,
        Optional<Map<String, CustomerIdentity>> customers) {
    public ServingConfiguration {
        services = Map.copyOf(services);
        stores = List.copyOf(stores);
        customers = customers.map(Map::copyOf);
    }

    /** Whether a request may be served, and for which customer. */
    public sealed interface AccessDecision {
        /**
         * The request may be served.
         *
         * @param route its route
         * @param customer its customer; empty on routes that require no credential
         */
        record Granted(ServiceRoute route, Optional<CustomerIdentity> customer) implements AccessDecision {}

        /**
         * The request may not be served.
         *
         * @param error the reason
         */
        record Denied(ErrorKind error) implements AccessDecision {}
    }

    /**
     * Decides whether a request may be served.
     *
     * @param host the requested host
     * @param target the request target: a path with or without a query
     * @param credential the request's credential; empty if none
     */
    public AccessDecision authorize(String host, String target, Optional<String> credential) {
        Optional<ServiceRoute> route = routes.find(host, target);
        if (route.isEmpty()) {
            return new AccessDecision.Denied(ErrorKind.UNKNOWN_PATH);
        }
        Optional<CustomerIdentity> customer = credential.flatMap(key -> customers.map(known -> known.get(key)));
        boolean needed = customers.isPresent() && !route.get().publicAccess();
        if (needed && customer.isEmpty()) {
            return new AccessDecision.Denied(ErrorKind.UNAUTHENTICATED);
        }
        return new AccessDecision.Granted(route.get(), customer);
    }
}
