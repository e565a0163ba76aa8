package org.rattanrudder.core.quarantine;

import java.util.Set;

/**
 * The crash of a target, as seen by one relay.
 *
 * @param target the target's id
 * @param startedAt the start time of the crashed process, see {@link
 * org.rattanrudder.core.fleet.TargetRegistration#startedAt()}
 * @param requests the relay's requests that were in flight at the target
 */
public record TargetCrash(String target, long startedAt, Set<RequestFingerprint> requests) {
    public TargetCrash {
        requests = Set.copyOf(requests);
    }
}
