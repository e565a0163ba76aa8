package org.rattanrudder.wire.http;

import java.util.List;
import org.rattanrudder.core.call.Header;
import org.rattanrudder.core.gateway.ResponseEnd;

/** Takes a streamed answer, always on one I/O thread: a head, parts, and either an end or a failure. */
public interface HttpAnswer {
    /** The call begins; from now on it may be cancelled. */
    default void started(HttpCall call) {}

    /** The answer has begun. */
    void head(int status, List<Header> headers);

    /**
     * A part of the body has arrived.
     *
     * @return whether to read on; if not, {@link HttpCall#readOn()} does so later
     */
    boolean part(byte[] bytes);

    /**
     * {@link HttpCall#readOn()} was called while reading was paused.
     *
     * @return whether to read on
     */
    default boolean resume() {
        return true;
    }

    /**
     * The answer has been read to its end.
     *
     * @param end how it ended: as declared, or with its connection in order; never broken off
     */
    void end(ResponseEnd end);

    /**
     * The call broke off, before or after the answer began.
     *
     * @param nothingSent whether no byte of the request can have reached the peer
     * @param detail one line for people
     */
    void failed(boolean nothingSent, String detail);
}
