/**
 * What a relay needs of the platform that it runs on, in the product's own words.
 *
 * <p>{@link org.rattanrudder.daemon.relay.port.PlatformAdapter} is the front class. An adapter translates between these
 * types and the platform's names, formats and calls; it decides nothing.
 */
package org.rattanrudder.daemon.relay.port;
