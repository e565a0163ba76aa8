/**
 * What relays tell each other.
 *
 * <p>The package decides what is sent to which peer and when; it may use {@code streams}, {@code store}, {@code
 * targets} and what is below. {@link org.rattanrudder.daemon.relay.peers.PeerExchange} is the entry point.
 */
package org.rattanrudder.daemon.relay.peers;
