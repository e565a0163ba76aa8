package org.rattanrudder.core.gateway;

import java.util.OptionalInt;

/**
 * The customer that a credential belongs to.
 *
 * @param name its name, as targets are told it
 * @param priority the rank of its requests, which goes before the route's; empty if the route's holds
 * @param isolated whether it shares no cached context with any other customer
 */
public record CustomerIdentity(String name, OptionalInt priority, boolean isolated) {}
