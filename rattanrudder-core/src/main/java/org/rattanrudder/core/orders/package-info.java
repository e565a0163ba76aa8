/**
 * Orders to targets: which companion may send them, their fencing, and the limit on concurrent weight loads.
 *
 * <p>Entry point: {@link org.rattanrudder.core.orders.TargetOrders}, one for each target.
 */
package org.rattanrudder.core.orders;
