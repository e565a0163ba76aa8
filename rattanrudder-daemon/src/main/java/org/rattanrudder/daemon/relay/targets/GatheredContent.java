package org.rattanrudder.daemon.relay.targets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Gathers the small chunks of a body that one read has brought.
 *
 * <p>Passed on one by one, each would take several hundred bytes of memory, and a system call, however few it brings.
 */
final class GatheredContent {
    /** Chunks of fewer bytes are gathered. */
    private static final int SMALL_BYTES = 1_024;

    private ByteBuf single;
    private ByteBuf joined;

    /** Adds a chunk, which its caller goes on to own; returns false for one that isn't small. */
    boolean tryAdd(ByteBuf chunk) {
        if (chunk.readableBytes() >= SMALL_BYTES) {
            return false;
        }
        if (joined == null && single == null) {
            single = chunk.retain();
            return true;
        }
        if (joined == null) {
            joined = Unpooled.buffer(SMALL_BYTES).writeBytes(single);
            single.release();
            single = null;
        }
        joined.writeBytes(chunk);
        return true;
    }

    /** Returns what was gathered, and hands it over; null if it is nothing. */
    ByteBuf take() {
        ByteBuf taken = joined == null ? single : joined;
        single = null;
        joined = null;
        return taken;
    }

    /** Drops what was gathered. */
    void clear() {
        ByteBuf dropped = take();
        if (dropped != null) {
            dropped.release();
        }
    }
}
