package org.rattanrudder.daemon.relay.serving;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.SocketChannel;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Closes a connection once everything written was sent and nothing more arrives, so that a reset doesn't overtake the
 * last response: callers may send all of a request before they read its response.
 *
 * <p>The linger time starts once all was sent: started at the last write, it would cut off what a slow reader hasn't
 * received yet. Whoever looks at connections periodically closes one whose caller takes nothing any more.
 */
final class GracefulClose {
    /** How long the connection is still read after its last byte. */
    private static final long LINGER_MILLIS = 500;

    /** How long it is read in all, if a body within the limits may still arrive. */
    private static final long MAX_BODY_MILLIS = 10_000;

    private final ChannelHandlerContext context;
    private final LongSupplier clock;
    private final LongSupplier lastReadAt;
    private long maxLingerMillis = LINGER_MILLIS;
    private long lingersSince;

    /**
     * Prepares to close a connection.
     *
     * @param lastReadAt returns when the last bytes arrived, on the clock
     */
    GracefulClose(ChannelHandlerContext context, LongSupplier clock, LongSupplier lastReadAt) {
        this.context = context;
        this.clock = clock;
        this.lastReadAt = lastReadAt;
    }

    /** Lets the rest of a body arrive that is within the limits. */
    GracefulClose afterBody() {
        maxLingerMillis = MAX_BODY_MILLIS;
        return this;
    }

    /** Begins to close; what arrives from now on should be dropped. */
    void start() {
        context.channel().config().setAutoRead(true);
        if (context.channel() instanceof SocketChannel socket && socket.isActive()) {
            context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> {
                socket.shutdownOutput();
                lingersSince = clock.getAsLong();
                after(LINGER_MILLIS, this::closeIfIdle);
            });
        }
    }

    private void closeIfIdle() {
        long until = Math.min(lastReadAt.getAsLong() + LINGER_MILLIS, lingersSince + maxLingerMillis);
        long left = until - clock.getAsLong();
        if (left > 0) {
            after(left, this::closeIfIdle);
        } else {
            context.close();
        }
    }

    private void after(long millis, Runnable task) {
        context.executor().schedule(task, millis, TimeUnit.MILLISECONDS);
    }
}
