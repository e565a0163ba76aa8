package org.rattanrudder.core.gateway;

import org.rattanrudder.core.model.Address;

/**
 * A store of cached context that engines read from and write to.
 *
 * @param name the name of its service
 * @param address the address at which engines and relays reach it
 * @param failureDomain its failure domain
 * @param capacityTokens its capacity, in tokens
 * @param linkMbps the speed of its link, in Mbit/s
 * @param firstMillis the latency of each transfer until its first byte
 * @param managed whether it evicts nothing by itself
 */
public record ContextStore(
        String name,
        Address address,
        String failureDomain,
        long capacityTokens,
        double linkMbps,
        double firstMillis,
        boolean managed) {}
