package org.rattanrudder.core.fleet;

import java.util.Optional;
import java.util.Set;
import org.rattanrudder.core.gateway.EngineTraits;

/**
 * What a request requires of its target.
 *
 * @param service the service of the request
 * @param failureDomain the relay's failure domain
 * @param engine the service's engines; empty for plain services
 * @param model the model; empty for plain services
 * @param newestWeights the newest desired version of the model's weights; 0 if none
 * @param oldestWeights the oldest version on which the request may start
 * @param tokens the maximum memory that it needs, in tokens
 * @param affinity a hash of the context that it shares; 0 if none
 * @param relay a hash of the sending relay
 * @param otherRelays how many other relays choose among the same targets
 * @param callMillis how long a call at a healthy target of a plain service takes, in ms
 * @param connections how many connections this relay may use per target
 * @param tried ids of the targets that it was sent to before
 */
public record PlacementQuery(
        String service,
        String failureDomain,
        Optional<EngineTraits> engine,
        Optional<String> model,
        long newestWeights,
        long oldestWeights,
        int tokens,
        long affinity,
        long relay,
        int otherRelays,
        double callMillis,
        int connections,
        Set<String> tried) {
    public PlacementQuery {
        tried = Set.copyOf(tried);
    }
}
