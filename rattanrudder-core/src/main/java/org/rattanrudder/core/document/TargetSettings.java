package org.rattanrudder.core.document;

import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.TargetName;

/**
 * One back end and the companion that is responsible for it.
 *
 * @param name its name, unique in the document
 * @param address the address at which the engine or plain service listens (HTTP)
 * @param companion the address at which its companion listens for entries
 * @param failureDomain its failure domain
 * @param checksFencing whether the target itself refuses orders with an outdated fencing number
 * @param draining whether the operator has it drained, so that it gets no new work
 * @param linkBytesPerSecond the bandwidth limit of its link for cache blocks
 * @param concurrency the maximum number of requests that run at once; further ones are queued
 */
public record TargetSettings(
        TargetName name,
        Address address,
        Address companion,
        String failureDomain,
        boolean checksFencing,
        boolean draining,
        long linkBytesPerSecond,
        int concurrency) {}
