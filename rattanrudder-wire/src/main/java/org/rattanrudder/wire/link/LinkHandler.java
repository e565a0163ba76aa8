package org.rattanrudder.wire.link;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.wire.frame.DecodedFrame;
import org.rattanrudder.wire.frame.FrameCodec;

/** Reads frames from one channel: a hello first, within its time, then the rest. */
final class LinkHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private static final int LENGTH_BYTES = 4;

    private final Link link;
    private final Frame.Hello hello;
    private final LinkSettings settings;
    private boolean greeted;

    private LinkHandler(Link link, Frame.Hello hello, LinkSettings settings) {
        this.link = link;
        this.hello = hello;
        this.settings = settings;
    }

    /** Returns what sets up a new channel, with the link that the function makes for it. */
    static ChannelInitializer<SocketChannel> initializer(
            Function<SocketChannel, Link> links, Frame.Hello hello, LinkSettings settings) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                Link link = links.apply(channel);
                channel.pipeline()
                        .addLast(new LengthFieldBasedFrameDecoder(
                                settings.frameBytes(), 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                        .addLast(new LinkHandler(link, hello, settings));
            }
        };
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        link.connected(context.channel());
        link.send(hello);
        // A peer that connects and says nothing would hold a connection for good.
        context.executor()
                .schedule(
                        () -> {
                            if (!greeted) {
                                link.fail("no hello in " + settings.helloMillis() + " ms");
                            }
                        },
                        settings.helloMillis(),
                        TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf buffer) {
        byte[] bytes = new byte[buffer.readableBytes()];
        buffer.readBytes(bytes);
        link.countReceived(bytes.length);
        DecodedFrame decoded = FrameCodec.decode(bytes);
        if (decoded instanceof DecodedFrame.Malformed malformed) {
            link.fail("malformed frame: " + malformed.reason());
            return;
        }
        if (decoded instanceof DecodedFrame.Known known) {
            take(known.frame());
        }
    }

    private void take(Frame frame) {
        if (greeted) {
            link.arrived(frame);
            return;
        }
        if (frame instanceof Frame.Hello peer) {
            greeted = true;
            link.opened(peer);
            return;
        }
        link.fail("a frame came before the hello");
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        link.fail("the peer closed the connection");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // Oversized lengths, resets and garbage all end here; the connection can't be read any further.
        link.fail(cause.getClass().getSimpleName() + ": " + cause.getMessage());
    }
}
