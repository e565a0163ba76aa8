/**
 * Orders to engines to load weights.
 *
 * <p>The package decides when this relay gives which engine an order; it may use {@code store}, {@code targets} and
 * what is below. {@link org.rattanrudder.daemon.relay.rollout.RolloutCoordinator} is the entry point.
 */
package org.rattanrudder.daemon.relay.rollout;
