/**
 * Routing: which targets are eligible, what a request would cost at each, and the policies that pick one.
 *
 * <p>Front class: {@link org.rattanrudder.core.routing.RoutingPolicy}, which chooses from a
 * {@link org.rattanrudder.core.routing.TargetPool}.
 */
package org.rattanrudder.core.routing;
