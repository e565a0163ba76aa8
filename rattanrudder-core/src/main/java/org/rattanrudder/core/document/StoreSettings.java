package org.rattanrudder.core.document;

import org.rattanrudder.core.model.Address;

/**
 * One KV cache store.
 *
 * @param name its name, unique in the document
 * @param address the address at which it listens (HTTP)
 * @param failureDomain its failure domain
 * @param linkBytesPerSecond the bandwidth limit of its link, shared by all targets of the service
 */
public record StoreSettings(String name, Address address, String failureDomain, long linkBytesPerSecond) {}
