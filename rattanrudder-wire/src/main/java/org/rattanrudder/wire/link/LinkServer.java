package org.rattanrudder.wire.link;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.Address;

/** Listens for links. */
public final class LinkServer implements AutoCloseable {
    private static final int BACKLOG = 512;

    private final Channel listening;

    /**
     * Begins to listen.
     *
     * @param group the threads that carry the links
     * @param listen where; port 0 lets the system choose
     * @param hello what is said to each peer
     * @param settings the bounds of each link
     * @param traffic counts the links' bytes
     * @param listener is told what happens on each link
     * @throws IOException if the address can't be listened on
     */
    public LinkServer(
            EventLoopGroup group,
            InetSocketAddress listen,
            Frame.Hello hello,
            LinkSettings settings,
            LinkTraffic traffic,
            LinkListener listener)
            throws IOException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(LinkHandler.initializer(
                        channel -> new Link(peerOf(channel), settings, traffic, listener), hello, settings));
        try {
            listening = bootstrap.bind(listen).syncUninterruptibly().channel();
        } catch (RuntimeException failed) {
            throw new IOException("can't listen on " + listen + ": " + failed.getMessage(), failed);
        }
    }

    /** Returns the port that is listened on. */
    public int port() {
        return ((InetSocketAddress) listening.localAddress()).getPort();
    }

    /** Stops listening; links that are up stay up. */
    @Override
    public void close() {
        listening.close().syncUninterruptibly();
    }

    private static Address peerOf(SocketChannel channel) {
        InetSocketAddress remote = channel.remoteAddress();
        return new Address(remote.getAddress().getHostAddress(), remote.getPort());
    }
}
