/**
 * The relay's interface to the platform that it runs on, in the product's own terms.
 *
 * <p>{@link org.rattanrudder.daemon.relay.port.PlatformAdapter} is the entry point. An adapter translates between these
 * types and the platform's names, formats and calls; it makes no decisions.
 */
package org.rattanrudder.daemon.relay.port;
