/**
 * Decides when the topics of the platform's store are read, so that each record is in force within a bound.
 *
 * <p>{@link org.rattanrudder.core.topics.ReadTiming} divides the bound, {@link
 * org.rattanrudder.core.topics.RepeatPolicy} says when a call is made again, and {@link
 * org.rattanrudder.core.topics.ReadFreshness} up to when a topic is known to have been read.
 */
package org.rattanrudder.core.topics;
