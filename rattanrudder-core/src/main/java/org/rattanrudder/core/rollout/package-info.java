/**
 * Brings engines to the newest weights: which relay sends the orders, and which engine gets the next one.
 *
 * <p>{@link org.rattanrudder.core.rollout.RolloutPlanner} is the entry point.
 */
package org.rattanrudder.core.rollout;
