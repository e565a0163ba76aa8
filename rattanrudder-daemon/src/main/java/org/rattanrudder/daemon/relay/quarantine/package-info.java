/**
 * Requests that crash targets.
 *
 * <p>The package decides whether a target has crashed and whether a request may be sent; it may use {@code store},
 * {@code targets} and what is below. {@link org.rattanrudder.daemon.relay.quarantine.QuarantineExchange} is the entry
 * point.
 */
package org.rattanrudder.daemon.relay.quarantine;
