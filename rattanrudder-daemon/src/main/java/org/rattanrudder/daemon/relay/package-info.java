/**
 * The relay: takes requests from callers and passes each on to a target, byte for byte.
 *
 * <p>{@link org.rattanrudder.daemon.relay.RelayProcess} is the front class. Everything runs on one event loop, which
 * owns all state; decisions are the core's, and the platform's names, formats and calls are behind
 * {@link org.rattanrudder.daemon.relay.port}.
 */
package org.rattanrudder.daemon.relay;
