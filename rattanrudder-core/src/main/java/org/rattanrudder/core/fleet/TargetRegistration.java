package org.rattanrudder.core.fleet;

import java.util.Map;
import org.rattanrudder.core.model.Address;

/**
 * What a target said of itself when it was last heard of.
 *
 * @param id its name, which another start of it may have again
 * @param startedAt when it started, by its own clock in Unix ms; {@link #START_UNKNOWN} if it doesn't say
 * @param service the service that it belongs to
 * @param address where it listens
 * @param failureDomain where it stands
 * @param slots requests that it works on at once; 0 if it doesn't say
 * @param draining whether it is leaving and takes no new work
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
    /** The start of a target that doesn't say when it was; before any other start. */
    public static final long START_UNKNOWN = 0;

    /** Takes a copy of the versions. */
    public TargetRegistration {
        weights = Map.copyOf(weights);
    }
}
