package org.rattanrudder.core.gateway;

import java.util.List;
import org.rattanrudder.core.routing.Hashing;

/**
 * The services and limits for requests to one host and path prefix.
 *
 * @param name unique within a configuration
 * @param host the host, in lower case
 * @param pathPrefix begins and ends with a slash
 * @param repeat whether a request may run again
 * @param timeoutMillis the maximum time that a request is kept waiting
 * @param objectiveMillis the latency objective: until the whole response, or until the first event of a stream
 * @param maxPauseMillis the maximum pause between events of a stream that is on time; 0 for other routes
 * @param priority the priority of its requests, 0 first
 * @param services the services that share its requests, at least one
 * @param maxAttempts the maximum number of targets that one request may be sent to
 * @param publicAccess whether no credential is required
 * @param allowedRegions where its requests may run
 */
public record ServiceRoute(
        String name,
        String host,
        String pathPrefix,
        RepeatRule repeat,
        long timeoutMillis,
        long objectiveMillis,
        long maxPauseMillis,
        int priority,
        List<WeightedService> services,
        int maxAttempts,
        boolean publicAccess,
        AllowedRegions allowedRegions) {
    public ServiceRoute {
        services = List.copyOf(services);
    }

    /** Creates a route whose requests may run in any region. */
    public ServiceRoute(
            String name,
            String host,
            String pathPrefix,
            RepeatRule repeat,
            long timeoutMillis,
            long objectiveMillis,
            long maxPauseMillis,
            int priority,
            List<WeightedService> services,
            int maxAttempts,
            boolean publicAccess) {
        this(
                name,
                host,
                pathPrefix,
                repeat,
                timeoutMillis,
                objectiveMillis,
                maxPauseMillis,
                priority,
                services,
                maxAttempts,
                publicAccess,
                AllowedRegions.ANY);
    }

    /** Returns the service of a request, selected by the hash of its id in proportion to the weights. */
    public String serviceFor(String requestId) {
        if (services.size() == 1) {
            return services.get(0).service();
        }
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        if (total <= 0) {
            return services.get(0).service();
        }
        long drawn = Long.remainderUnsigned(Hashing.of(requestId), total);
        for (WeightedService candidate : services) {
            drawn -= candidate.weight();
            if (drawn < 0) {
                return candidate.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
