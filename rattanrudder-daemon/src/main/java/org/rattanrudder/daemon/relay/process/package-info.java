/**
 * The state that all parts of the relay share, its start and stop, its metrics and the pages about itself.
 *
 * <p>The package decides whether the relay accepts connections and requests, and when it has stopped; it may use {@code
 * net} and {@code port}. {@link org.rattanrudder.daemon.relay.process.RelayState} is the entry point.
 */
package org.rattanrudder.daemon.relay.process;
