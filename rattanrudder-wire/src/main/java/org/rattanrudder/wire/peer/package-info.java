/**
 * The datagrams between relays.
 *
 * <p>{@link org.rattanrudder.wire.peer.PeerCodec} is the front class.
 */
package org.rattanrudder.wire.peer;
