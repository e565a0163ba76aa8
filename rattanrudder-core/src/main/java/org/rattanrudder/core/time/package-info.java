/**
 * How much time has passed, for a process whose clocks may stand still or jump.
 *
 * <p>{@link org.rattanrudder.core.time.ElapsedTime} is the entry point.
 */
package org.rattanrudder.core.time;
