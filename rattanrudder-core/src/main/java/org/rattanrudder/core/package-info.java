/**
 * The seam between decisions and the world: state machines that turn events into effects.
 *
 * <p>Front class: {@link org.rattanrudder.core.StateMachine}.
 */
package org.rattanrudder.core;
