/**
 * Streams that another target may resume.
 *
 * <p>The package decides after which event a stream can be resumed and which software began it; it may use {@code
 * process} and what is below. {@link org.rattanrudder.daemon.relay.streams.StreamOriginExchange} is the entry point.
 */
package org.rattanrudder.daemon.relay.streams;
