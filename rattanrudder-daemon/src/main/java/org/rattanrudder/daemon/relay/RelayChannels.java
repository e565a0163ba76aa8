package org.rattanrudder.daemon.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Set;
import jdk.net.ExtendedSocketOptions;
import org.rattanrudder.core.model.Address;

/** Opens a relay's channels, all with short probes, since a peer that vanished shows by nothing else. */
final class RelayChannels {
    private static final int BACKLOG = 1_024;

    /** A peer that vanished is noticed by probes on an idle connection after about three seconds. */
    private static final int PROBE_IDLE_SECONDS = 1;

    private static final int PROBE_EVERY_SECONDS = 1;
    private static final int PROBES = 2;

    /** How much larger a head may be than the limit says before the decoder gives up; exact counts differ a little. */
    private static final int HEAD_SLACK = 2;

    private RelayChannels() {}

    /** Returns what opens connections to others. */
    static Bootstrap connector(EventLoopGroup group) {
        return new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_IDLE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_EVERY_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBES)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, TargetPools.CONNECT_MILLIS);
    }

    /**
     * Listens.
     *
     * @throws IOException if the address can't be had
     */
    static Channel listen(EventLoopGroup group, Address address, ChannelInitializer<Channel> channels)
            throws IOException {
        return opened(
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.SO_KEEPALIVE, true)
                        .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_IDLE_SECONDS)
                        .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_EVERY_SECONDS)
                        .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBES)
                        .childHandler(channels)
                        .bind(new InetSocketAddress(address.host(), address.port())),
                address);
    }

    /**
     * Waits until a channel listens.
     *
     * @throws IOException if the wait was interrupted
     */
    static Channel opened(ChannelFuture binding, Address address) throws IOException {
        try {
            return binding.sync().channel();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while listening on " + address, interrupted);
        }
    }

    /** Returns the channels of callers. */
    static ChannelInitializer<Channel> callers(RelayState state, TargetPools pools, Set<CallerConnection> open) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                CallerConnection connection = new CallerConnection(state, pools, open);
                channel.pipeline()
                        .addLast(
                                new RawBytes(connection),
                                new StrictRequestDecoder(state.limits().maxHeaderBytes() * HEAD_SLACK),
                                new HttpResponseEncoder(),
                                connection);
            }
        };
    }

    /** Tells a connection of bytes before they are decoded. */
    private static final class RawBytes extends ChannelInboundHandlerAdapter {
        private final CallerConnection connection;

        RawBytes(CallerConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            connection.bytesRead();
            context.fireChannelRead(message);
        }
    }
}
