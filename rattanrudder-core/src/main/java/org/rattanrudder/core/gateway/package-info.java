/**
 * Decides how a relay handles one request: its route, its customer, and each step after a failed attempt.
 *
 * <p>{@link org.rattanrudder.core.gateway.ServingConfiguration} is the entry point.
 */
package org.rattanrudder.core.gateway;
