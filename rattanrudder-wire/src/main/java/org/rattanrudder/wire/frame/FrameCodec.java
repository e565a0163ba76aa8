package org.rattanrudder.wire.frame;

import com.google.protobuf.InvalidProtocolBufferException;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.wire.generated.FrameMessages.FrameMessage;

/** Turns frames into bytes and back. */
public final class FrameCodec {
    private FrameCodec() {}

    /** Returns the bytes of a frame, without a length before them. */
    public static byte[] encode(Frame frame) {
        return FrameWriter.message(frame).toByteArray();
    }

    /** Reads a frame back; never throws on what a peer sent. */
    public static DecodedFrame decode(byte[] bytes) {
        try {
            return FrameReader.frame(FrameMessage.parseFrom(bytes))
                    .<DecodedFrame>map(DecodedFrame.Known::new)
                    .orElseGet(DecodedFrame.UnknownKind::new);
        } catch (InvalidProtocolBufferException malformed) {
            return new DecodedFrame.Malformed("not a frame message");
        } catch (IllegalArgumentException malformed) {
            return new DecodedFrame.Malformed("a field of another form than agreed");
        }
    }
}
