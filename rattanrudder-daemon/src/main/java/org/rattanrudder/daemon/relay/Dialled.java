package org.rattanrudder.daemon.relay;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;

/** What a dial found at a target's address. */
enum Dialled {
    /** Something listens there. */
    OPENED,
    /** The machine is there, and nothing listens. */
    REFUSED,
    /** Nobody answers: the machine, or the way to it, may be gone. */
    UNANSWERED;

    static Dialled of(ChannelFuture dial) {
        if (dial.isSuccess()) {
            return OPENED;
        }
        boolean refused =
                dial.cause() instanceof ConnectException && !(dial.cause() instanceof ConnectTimeoutException);
        return refused ? REFUSED : UNANSWERED;
    }
}
