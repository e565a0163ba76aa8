/**
 * Knows the targets that a gateway can send requests to, and picks one for each.
 *
 * <p>{@link org.rattanrudder.core.fleet.Fleet} is the front class.
 */
package org.rattanrudder.core.fleet;
