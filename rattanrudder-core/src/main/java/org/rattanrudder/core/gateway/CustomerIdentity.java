package org.rattanrudder.core.gateway;

import java.util.OptionalInt;

/**
 * The customer that a credential belongs to.
 *
 * @param name its name, as sent to targets
 * @param priority the priority of its requests, which overrides that of the route; empty if the route's applies
 * @param isolated whether it shares no cached context with other customers
 * @param allowedRegions where its requests may run
 */
public record CustomerIdentity(String name, OptionalInt priority, boolean isolated, AllowedRegions allowedRegions) {
    /** Creates a customer whose requests may run in any region. */
    public CustomerIdentity(String name, OptionalInt priority, boolean isolated) {
        this(name, priority, isolated, AllowedRegions.ANY);
    }
}
