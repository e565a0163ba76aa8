package org.rattanrudder.daemon.relay.targets;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketException;

/**
 * The result of connecting to a target.
 *
 * @param outcome how the attempt ended
 * @param channel the connection, if it was opened
 */
public record DialResult(Outcome outcome, Channel channel) {
    /** How a connection attempt ended. */
    public enum Outcome {
        /** The connection was opened. */
        OPENED,
        /** The host is reachable, but no process listens on the port. */
        REFUSED,
        /** The connection failed in another way, for example by a reset while it was opened. */
        BROKEN,
        /** No response: the host or the network path may be down. */
        UNANSWERED
    }

    /** Returns the result of a connection attempt that has ended. */
    public static DialResult of(ChannelFuture dial) {
        return new DialResult(outcome(dial), dial.channel());
    }

    private static Outcome outcome(ChannelFuture dial) {
        if (dial.isSuccess()) {
            return Outcome.OPENED;
        }
        Throwable cause = dial.cause();
        if (cause instanceof ConnectTimeoutException || cause instanceof NoRouteToHostException) {
            return Outcome.UNANSWERED;
        }
        if (cause instanceof ConnectException) {
            return Outcome.REFUSED;
        }
        return cause instanceof SocketException ? Outcome.BROKEN : Outcome.UNANSWERED;
    }

    /** Returns whether the connection was opened and still is. */
    public boolean isStillOpen() {
        return channel.isActive();
    }
}
