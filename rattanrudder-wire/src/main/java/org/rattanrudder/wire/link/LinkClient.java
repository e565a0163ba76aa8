package org.rattanrudder.wire.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.Address;

/** Opens links to peers. */
public final class LinkClient {
    private final EventLoopGroup group;
    private final Frame.Hello hello;
    private final LinkSettings settings;
    private final LinkTraffic traffic;
    private final LinkListener listener;

    /**
     * Makes a client.
     *
     * @param group the threads that carry the links
     * @param hello what is said to each peer
     * @param settings the bounds of each link
     * @param traffic counts the links' bytes
     * @param listener is told what happens on each link
     */
    public LinkClient(
            EventLoopGroup group,
            Frame.Hello hello,
            LinkSettings settings,
            LinkTraffic traffic,
            LinkListener listener) {
        this.group = group;
        this.hello = hello;
        this.settings = settings;
        this.traffic = traffic;
        this.listener = listener;
    }

    /** Begins to open a link; the listener hears {@code opened} or {@code closed}. */
    public Link open(Address peer) {
        Link link = new Link(peer, settings, traffic, listener);
        Bootstrap bootstrap = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectMillis())
                .handler(LinkHandler.initializer(channel -> link, hello, settings));
        ChannelFuture connecting = bootstrap.connect(peer.host(), peer.port());
        connecting.addListener(done -> {
            if (!done.isSuccess()) {
                link.fail("can't connect: " + done.cause().getMessage());
            }
        });
        return link;
    }
}
