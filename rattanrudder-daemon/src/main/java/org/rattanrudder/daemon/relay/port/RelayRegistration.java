package org.rattanrudder.daemon.relay.port;

import org.rattanrudder.core.model.Address;

/**
 * What a relay tells of itself in the platform's store.
 *
 * @param peerAddress where it hears of other relays
 * @param failureDomain where it stands
 */
public record RelayRegistration(Address peerAddress, String failureDomain) {}
