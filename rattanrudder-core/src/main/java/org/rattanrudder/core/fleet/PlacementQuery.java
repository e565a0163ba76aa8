package org.rattanrudder.core.fleet;

import java.util.Optional;
import java.util.Set;
import org.rattanrudder.core.gateway.EngineTraits;

/**
 * What a request needs of its target.
 *
 * @param service the service that runs it
 * @param failureDomain where the gateway stands
 * @param engine the service's engines; empty for plain services
 * @param model the model; empty for plain services
 * @param newestWeights the newest version of the model's weights that was named; 0 if none
 * @param oldestWeights the oldest version on which it may begin
 * @param tokens the memory that it takes at most, in tokens
 * @param affinity a hash of the context that it shares; 0 if none
 * @param relay a hash of the relay that sends it
 * @param otherRelays how many other relays choose among the same targets
 * @param connections how many connections this relay may use at one target
 * @param tried incarnations that it was sent to before
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
        int connections,
        Set<String> tried) {
    /** Takes a copy of the incarnations. */
    public PlacementQuery {
        tried = Set.copyOf(tried);
    }
}
