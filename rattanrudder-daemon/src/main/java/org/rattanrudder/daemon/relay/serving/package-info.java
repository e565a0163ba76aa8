/**
 * Callers' connections, and their requests from admission to the response.
 *
 * <p>The package decides when and to which target a request is sent, whether it is retried, and what its caller gets;
 * it may use {@code peers}, {@code quarantine}, {@code streams}, {@code targets} and what is below. {@link
 * org.rattanrudder.daemon.relay.serving.CallerServer} is the entry point.
 */
package org.rattanrudder.daemon.relay.serving;
