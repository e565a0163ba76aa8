/**
 * The relay: receives requests from callers and forwards each to a target, byte for byte.
 *
 * <p>{@link org.rattanrudder.daemon.relay.RelayProcess} is the entry point. Everything runs on one event loop, which
 * owns all state; decisions are made in core, and the platform's names, formats and calls are behind {@link
 * org.rattanrudder.daemon.relay.port}.
 */
package org.rattanrudder.daemon.relay;
