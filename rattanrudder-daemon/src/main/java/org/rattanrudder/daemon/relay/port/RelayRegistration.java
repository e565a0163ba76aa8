package org.rattanrudder.daemon.relay.port;

import org.rattanrudder.core.model.Address;

/**
 * A relay's registration in the platform's store.
 *
 * @param peerAddress where it receives messages from other relays
 * @param failureDomain its failure domain
 */
public record RelayRegistration(Address peerAddress, String failureDomain) {
    // Explicit: those that records generate are linked at run time, which slows the start of a relay.
    @Override
    public boolean equals(Object other) {
        return other instanceof RelayRegistration relay
                && peerAddress.equals(relay.peerAddress)
                && failureDomain.equals(relay.failureDomain);
    }

    @Override
    public int hashCode() {
        return 31 * peerAddress.hashCode() + failureDomain.hashCode();
    }
}
