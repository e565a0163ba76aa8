package org.rattanrudder.daemon.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketException;

/**
 * What a dial of a target found.
 *
 * @param result what it found
 * @param channel the connection, if it was opened
 */
record Dial(Result result, Channel channel) {
    /** What is at a target's address. */
    enum Result {
        /** Something listens there. */
        OPENED,
        /** The machine is there, and nothing listens. */
        REFUSED,
        /** The connection failed in another way, as one does that is reset while it opens. */
        BROKEN,
        /** Nobody answers: the machine, or the way to it, may be gone. */
        UNANSWERED
    }

    static Dial of(ChannelFuture dial) {
        return new Dial(result(dial), dial.channel());
    }

    private static Result result(ChannelFuture dial) {
        if (dial.isSuccess()) {
            return Result.OPENED;
        }
        Throwable cause = dial.cause();
        if (cause instanceof ConnectTimeoutException || cause instanceof NoRouteToHostException) {
            return Result.UNANSWERED;
        }
        if (cause instanceof ConnectException) {
            return Result.REFUSED;
        }
        return cause instanceof SocketException ? Result.BROKEN : Result.UNANSWERED;
    }

    /** Returns whether a connection was opened and is still there. */
    boolean lasts() {
        return channel.isActive();
    }
}
