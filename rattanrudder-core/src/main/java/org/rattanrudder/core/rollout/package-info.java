/**
 * Brings engines to the newest weights: who gives the orders, and which engine gets one next.
 *
 * <p>{@link org.rattanrudder.core.rollout.RolloutPlanner} is the front class.
 */
package org.rattanrudder.core.rollout;
