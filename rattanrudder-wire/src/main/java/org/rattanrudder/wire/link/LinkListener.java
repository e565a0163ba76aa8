package org.rattanrudder.wire.link;

import org.rattanrudder.core.frame.Frame;

/** Is told what happens on a link, always on the link's own thread and in order. */
public interface LinkListener {
    /** The link is up: the peer has said hello. */
    void opened(Link link, Frame.Hello hello);

    /** A frame has arrived. Blocking here stops reading from the peer, which is how a full ring pushes back. */
    void arrived(Link link, Frame frame);

    /**
     * The link is gone or couldn't be opened. Called once, and not at all after {@link Link#close()}.
     *
     * @param reason one line for the log
     */
    void closed(Link link, String reason);
}
