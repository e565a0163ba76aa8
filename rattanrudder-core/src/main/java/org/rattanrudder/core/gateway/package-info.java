/**
 * Decides what becomes of one request at a gateway: its route, its customer, and each step after an attempt failed.
 *
 * <p>{@link org.rattanrudder.core.gateway.ServingConfiguration} is the front class.
 */
package org.rattanrudder.core.gateway;
