/**
 * Tracks the targets that a relay can send requests to, and picks one for each request.
 *
 * <p>{@link org.rattanrudder.core.fleet.Fleet} is the entry point.
 */
package org.rattanrudder.core.fleet;
