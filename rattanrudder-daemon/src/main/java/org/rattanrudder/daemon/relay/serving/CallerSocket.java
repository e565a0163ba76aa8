package org.rattanrudder.daemon.relay.serving;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.nio.AbstractNioChannel;
import java.net.InetSocketAddress;
import org.rattanrudder.core.gateway.SendProgress;

/** The socket of a caller: whether the caller is still there, and takes what was written. */
final class CallerSocket {
    private final Channel channel;
    private final SendProgress progress;

    /** Creates one for a channel to which nothing was written. */
    CallerSocket(Channel channel, long nowMillis) {
        this.channel = channel;
        progress = new SendProgress(nowMillis);
    }

    /** Returns the caller's address, without its port. */
    String host() {
        return channel.remoteAddress() instanceof InetSocketAddress known
                ? known.getAddress().getHostAddress()
                : "unknown";
    }

    /**
     * Reads pending bytes without waiting for the next iteration of the event loop, and returns whether the connection
     * was closed; its exchange is cancelled soon after. Iterations are long while CPU is short, and ready connections
     * are handled in any order: a request would be sent on before the close of its connection is read.
     */
    boolean hasDisconnected() {
        if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            socket.read();
        }
        return !channel.isActive();
    }

    /** Returns how many bytes wait to be sent. */
    long unsentBytes() {
        ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
        return unsent == null ? 0 : unsent.totalPendingWriteBytes();
    }

    /** Records how much waits now; called periodically. */
    void update(long nowMillis) {
        ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
        long bytes = unsent == null ? 0 : unsent.totalPendingWriteBytes() - unsent.currentProgress();
        progress.update(bytes, nowMillis);
    }

    /** Returns whether the caller has taken next to nothing of what waits for longer than the given time. */
    boolean isStalled(long nowMillis, long idleTimeoutMillis) {
        return unsentBytes() > 0 && progress.isStalled(nowMillis, idleTimeoutMillis);
    }
}
