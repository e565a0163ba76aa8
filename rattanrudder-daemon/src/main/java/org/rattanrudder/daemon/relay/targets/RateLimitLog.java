package org.rattanrudder.daemon.relay.targets;

import java.util.HashMap;
import java.util.Map;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.daemon.relay.process.RelayState;

/** Logs when targets name a rate limit, change it, and name none any more. */
final class RateLimitLog {
    private final RelayState state;
    private Map<String, Double> limits = Map.of();

    /** Creates a log of targets none of which is limited. */
    RateLimitLog(RelayState state) {
        this.state = state;
        state.metrics()
                .gauge(
                        "rattanrudder_relay_targets_rate_limited",
                        "Targets that have named a rate limit",
                        () -> limits.size());
    }

    /** Logs the targets whose limit has changed since the last update. */
    void update(long now) {
        Map<String, Double> current = new HashMap<>();
        for (Target target : state.fleet().all(now)) {
            target.rateLimit().ifPresent(limit -> {
                current.put(target.id(), limit);
                if (!Double.valueOf(limit).equals(limits.get(target.id()))) {
                    logLimit(target, limit);
                }
            });
        }
        limits.keySet().stream()
                .filter(id -> !current.containsKey(id))
                .forEach(id -> state.log().info("rate_limit_ended", "target", id));
        limits = current;
    }

    private void logLimit(Target target, double limit) {
        state.log()
                .info(
                        "rate_limit_named",
                        "target",
                        target.id(),
                        "domain",
                        target.registration().failureDomain(),
                        "requests_per_s",
                        Double.toString(limit),
                        "own_per_s",
                        Double.toString(state.rateLimits().ownRequestsPerSecond(target)));
    }
}
