package org.rattanrudder.daemon.relay.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import jdk.net.ExtendedSocketOptions;
import org.rattanrudder.core.fleet.DialTimeout;
import org.rattanrudder.core.model.Address;

/**
 * Opens the channels of a relay, all with short TCP keep-alive intervals, since nothing else detects a vanished peer.
 */
public final class RelayChannels {
    private static final int BACKLOG = 1_024;

    /** Keep-alive probes on an idle connection detect a vanished peer after about three seconds. */
    private static final int KEEPALIVE_IDLE_SECONDS = 1;

    private static final int KEEPALIVE_INTERVAL_SECONDS = 1;
    private static final int KEEPALIVE_PROBES = 2;

    /**
     * Timeout for opening a connection. A request waits for it only as long as {@link DialTimeout} allows; a connection
     * that opens later is kept for the next request.
     */
    private static final int CONNECT_TIMEOUT_MILLIS = (int) DialTimeout.MAX_MILLIS;

    private static final int MIN_READ_BYTES = 64;

    private static final int FIRST_READ_BYTES = 2_048;

    private static final int MAX_READ_BYTES = 16_384;

    /** How many reads of one connection are made before those of others. */
    private static final int READS_IN_TURN = 2;

    /** What the system may keep of a connection that isn't read; left to itself, it makes room for megabytes. */
    private static final int SOCKET_BYTES = 128 * 1_024;

    /**
     * What the system may take of a request before the other side has received it. Left to itself it takes megabytes,
     * so that a request which nobody reads would count as written.
     */
    static final int SEND_BUFFER_BYTES = 64 * 1_024;

    private RelayChannels() {}

    /** Returns the bootstrap for outbound connections. */
    public static Bootstrap connector(EventLoopGroup group) {
        return new Bootstrap()
                .group(group)
                .channel(OutboundChannel.class)
                .option(ChannelOption.RECVBUF_ALLOCATOR, reads())
                .option(ChannelOption.SO_RCVBUF, SOCKET_BYTES)
                .option(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_IDLE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEPALIVE_INTERVAL_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_PROBES)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    }

    /** Returns the sizes of reads: with many senders that are always ready, the others wait for one turn of each. */
    private static AdaptiveRecvByteBufAllocator reads() {
        AdaptiveRecvByteBufAllocator reads =
                new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES);
        reads.maxMessagesPerRead(READS_IN_TURN);
        return reads;
    }

    /**
     * Binds and listens on an address.
     *
     * @throws IOException if the address can't be bound
     */
    public static Channel listen(EventLoopGroup group, Address address, ChannelInitializer<Channel> channels)
            throws IOException {
        return awaitBound(
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.SO_KEEPALIVE, true)
                        .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_IDLE_SECONDS)
                        .childOption(
                                NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEPALIVE_INTERVAL_SECONDS)
                        .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_PROBES)
                        .childHandler(channels)
                        .bind(new InetSocketAddress(address.host(), address.port())),
                address);
    }

    /**
     * Waits until a channel is bound.
     *
     * @throws IOException if the wait was interrupted
     */
    public static Channel awaitBound(ChannelFuture binding, Address address) throws IOException {
        try {
            return binding.sync().channel();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while listening on " + address, interrupted);
        }
    }
}
