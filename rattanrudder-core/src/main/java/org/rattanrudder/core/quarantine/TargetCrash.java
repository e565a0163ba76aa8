package org.rattanrudder.core.quarantine;

import java.util.Set;

/**
 * The unplanned end of a target, as one relay saw it.
 *
 * @param target the target's id
 * @param startedAt the start of it that ended, see {@link org.rattanrudder.core.fleet.TargetRegistration#startedAt()}
 * @param requests the requests of the relay that were there
 */
public record TargetCrash(String target, long startedAt, Set<RequestFingerprint> requests) {
    /** Takes a copy of the requests. */
    public TargetCrash {
        requests = Set.copyOf(requests);
    }
}
