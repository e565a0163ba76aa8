/**
 * Decides when the topics of the platform's store are read, so that each record has been read within a bound.
 *
 * <p>{@link org.rattanrudder.core.topics.ReadFreshness} is the entry point.
 */
package org.rattanrudder.core.topics;
