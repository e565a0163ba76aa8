package org.rattanrudder.core.gateway;

import org.rattanrudder.core.model.Address;

/**
 * A store of cached context that engines read from and write to.
 *
 * @param name its service's name
 * @param address where engines and we reach it
 * @param failureDomain where it stands
 * @param capacityTokens its room, in tokens
 * @param linkMbps its link's speed, in Mbit/s
 * @param firstMillis what each transfer waits before its first byte
 * @param managed whether it frees nothing by itself
 */
public record ContextStore(
        String name,
        Address address,
        String failureDomain,
        long capacityTokens,
        double linkMbps,
        double firstMillis,
        boolean managed) {}
