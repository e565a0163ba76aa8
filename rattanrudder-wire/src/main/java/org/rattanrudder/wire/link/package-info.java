/**
 * Links between processes: frames over TCP, each with its length before it, after an exchange of hellos.
 *
 * <p>{@link org.rattanrudder.wire.link.LinkServer} listens, {@link org.rattanrudder.wire.link.LinkClient} connects;
 * both tell a {@link org.rattanrudder.wire.link.LinkListener} what happens on a
 * {@link org.rattanrudder.wire.link.Link}.
 */
package org.rattanrudder.wire.link;
