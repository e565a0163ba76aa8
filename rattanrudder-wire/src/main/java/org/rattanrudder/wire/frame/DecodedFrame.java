package org.rattanrudder.wire.frame;

import org.rattanrudder.core.frame.Frame;

/** What came of reading a frame's bytes. */
public sealed interface DecodedFrame {
    /**
     * A frame.
     *
     * @param frame the frame
     */
    record Known(Frame frame) implements DecodedFrame {}

    /** A frame of a kind that only a newer release knows: to be skipped. */
    record UnknownKind() implements DecodedFrame {}

    /**
     * Bytes that are no frame: the peer isn't one of ours or the stream is broken, so the link is closed.
     *
     * @param reason what was wrong, without content
     */
    record Malformed(String reason) implements DecodedFrame {}
}
