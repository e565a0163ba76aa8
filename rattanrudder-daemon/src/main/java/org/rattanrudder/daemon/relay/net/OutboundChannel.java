package org.rattanrudder.daemon.relay.net;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;

/** A channel that can tell whether its connection was reset after the other side had ended it in order. */
public final class OutboundChannel extends NioSocketChannel {
    /**
     * Returns whether the connection was reset or can't be asked.
     *
     * <p>After an end in order, reads go on to return the end. So the selector is asked: readiness to connect is never
     * reported of a connection that is open, but that it has failed is reported as any readiness.
     */
    public boolean isReset() {
        try (Selector selector = Selector.open()) {
            javaChannel().register(selector, SelectionKey.OP_CONNECT);
            return selector.selectNow() > 0;
        } catch (IOException closed) {
            return true;
        }
    }
}
