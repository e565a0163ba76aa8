/**
 * The relay's channels, HTTP calls and timers on its event loop.
 *
 * <p>The package decides how connections are opened and when a call has failed; it may use {@code port}. {@link
 * org.rattanrudder.daemon.relay.net.HttpCallClient} is the entry point.
 */
package org.rattanrudder.daemon.relay.net;
