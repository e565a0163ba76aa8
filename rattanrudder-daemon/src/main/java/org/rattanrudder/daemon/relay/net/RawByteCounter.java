package org.rattanrudder.daemon.relay.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.function.IntPredicate;

/**
 * Counts bytes as they arrive, before a decoder that skips, joins or waits for more of them without a bound of its own.
 */
public final class RawByteCounter extends ChannelInboundHandlerAdapter {
    private final IntPredicate accepted;

    /**
     * Creates a counter.
     *
     * @param accepted receives the number of bytes that have just arrived; returns whether they are passed on
     */
    public RawByteCounter(IntPredicate accepted) {
        this.accepted = accepted;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf bytes && !accepted.test(bytes.readableBytes())) {
            bytes.release();
            return;
        }
        context.fireChannelRead(message);
    }
}
