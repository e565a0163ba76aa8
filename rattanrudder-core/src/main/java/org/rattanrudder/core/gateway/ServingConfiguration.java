package org.rattanrudder.core.gateway;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.rattanrudder.core.model.ErrorKind;

/**
 * One version of what operators want served; immutable.
 *
 * <pre>{@code
 * Admittance admittance = configuration.admit(host, path, Optional.of(credential));
 * }</pre>
 *
 * @param version increases with each change, not always by one
 * @param routes where requests go
 * @param services the services by name
 * @param stores the stores of cached context
 * @param limits what callers may send
 * @param customers customers by credential; empty if no route asks for one
 */
public record ServingConfiguration(
        long version,
        RouteTable routes,
        Map<String, BackendService> services,
        List<ContextStore> stores,
        CallerLimits limits,
        Optional<Map<String, CustomerIdentity>> customers) {
    /** Takes copies of the collections. */
    public ServingConfiguration {
        services = Map.copyOf(services);
        stores = List.copyOf(stores);
        customers = customers.map(Map::copyOf);
    }

    /** Whether a request may be served, and as whose. */
    public sealed interface AccessDecision {
        /**
         * The request may be served.
         *
         * @param route its route
         * @param customer whose it is; empty on routes that ask for no credential
         */
        record Granted(ServiceRoute route, Optional<CustomerIdentity> customer) implements AccessDecision {}

        /**
         * The request may not be served.
         *
         * @param error why
         */
        record Denied(ErrorKind error) implements AccessDecision {}
    }

    /**
     * Decides whether a request may be served.
     *
     * @param host the host that it names
     * @param target its path with or without a query
     * @param credential what it brings; empty if none
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
