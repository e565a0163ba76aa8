/**
 * Decision logic of a companion: which attempts its targets run, in which order and with which context, and the orders
 * that it sends to them.
 *
 * <p>Entry point: {@link org.rattanrudder.core.companion.CompanionMachine}.
 */
package org.rattanrudder.core.companion;
