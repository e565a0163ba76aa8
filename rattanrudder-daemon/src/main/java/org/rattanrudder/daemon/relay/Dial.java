package org.rattanrudder.daemon.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;

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
        boolean refused =
                dial.cause() instanceof ConnectException && !(dial.cause() instanceof ConnectTimeoutException);
        return refused ? Result.REFUSED : Result.UNANSWERED;
    }

    /** Returns whether the connection that was opened is still there. */
    boolean lasts() {
        return channel.isActive();
    }
}
