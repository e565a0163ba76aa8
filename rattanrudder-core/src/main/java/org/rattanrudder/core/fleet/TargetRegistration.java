package org.rattanrudder.core.fleet;

import java.util.Map;
import org.rattanrudder.core.model.Address;

/**
 * The registration that a target last published.
 *
 * @param id its name, which it may keep across restarts
 * @param startedAt when it started, by its own clock in Unix ms; {@link #START_UNKNOWN} if not given
 * @param service the service that it belongs to
 * @param address the address that it listens on
 * @param failureDomain its failure domain
 * @param slots how many requests it processes concurrently; 0 if not given
 * @param draining whether it is shutting down and accepts no new requests
 * @param weights the version of each model that it serves
 */
public record TargetRegistration(
        String id,
        long startedAt,
        String service,
        Address address,
        String failureDomain,
        int slots,
        boolean draining,
        Map<String, Long> weights) {
    /** The start time of a target that gives none; sorts before any other. */
    public static final long START_UNKNOWN = 0;

    public TargetRegistration {
        weights = Map.copyOf(weights);
    }
}
