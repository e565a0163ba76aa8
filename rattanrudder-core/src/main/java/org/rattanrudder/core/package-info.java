/**
 * The interface between decision logic and its environment: state machines that turn events into effects.
 *
 * <p>Main class: {@link org.rattanrudder.core.StateMachine}.
 */
package org.rattanrudder.core;
