package org.rattanrudder.daemon.relay.port;

import org.rattanrudder.core.model.Address;

/**
 * A relay's registration in the platform's store.
 *
 * @param peerAddress where it receives messages from other relays
 * @param failureDomain its failure domain
 */
public record RelayRegistration(Address peerAddress, String failureDomain) {}
