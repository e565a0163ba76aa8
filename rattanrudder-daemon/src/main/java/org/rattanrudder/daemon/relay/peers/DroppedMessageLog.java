package org.rattanrudder.daemon.relay.peers;

import java.net.InetSocketAddress;
import org.rattanrudder.daemon.relay.process.RelayState;

/** Counts ignored datagrams, and logs one a second at most: the port is open to any sender, who may never stop. */
final class DroppedMessageLog {
    private static final long INTERVAL_MILLIS = 1_000;

    private final RelayState state;
    private long loggedAt = Long.MIN_VALUE / 2;
    private long droppedSince;

    /** Creates a log of no datagrams. */
    DroppedMessageLog(RelayState state) {
        this.state = state;
    }

    /** Records an ignored datagram. */
    void record(InetSocketAddress sender, String reason) {
        state.metrics().recordPeerMessageDropped(reason);
        droppedSince++;
        long now = state.nowMillis();
        if (now - loggedAt < INTERVAL_MILLIS) {
            return;
        }
        state.log()
                .info(
                        "peer_message_dropped",
                        "sender",
                        String.valueOf(sender),
                        "reason",
                        reason,
                        "messages",
                        Long.toString(droppedSince));
        loggedAt = now;
        droppedSince = 0;
    }
}
