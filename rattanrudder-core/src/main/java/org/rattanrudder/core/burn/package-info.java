/**
 * Error budget burn rates of the services: counted at each entry and merged over all entries.
 *
 * <p>Main classes: {@link org.rattanrudder.core.burn.BurnLedger} counts at one entry, and {@link
 * org.rattanrudder.core.burn.BurnReport} merges the counts.
 */
package org.rattanrudder.core.burn;
