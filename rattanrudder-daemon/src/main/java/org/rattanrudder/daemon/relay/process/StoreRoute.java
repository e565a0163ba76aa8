package org.rattanrudder.daemon.relay.process;

import java.util.List;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.daemon.logging.EventLog;

/**
 * Whether the platform's store refuses this relay, and the peers that may read for it meanwhile.
 *
 * <p>A store may refuse some relays, or leave their calls unanswered, while it serves the others.
 */
public final class StoreRoute {
    private static final long PEERS_PAUSE_MILLIS = 1_000;

    private final EventLog log;
    private final LongSupplier clock;
    private Supplier<List<Address>> livePeers = List::of;
    private List<Address> lastPeers = List.of();
    private int firstPeer;
    private long peersAskedAgainAt = Long.MIN_VALUE;
    private boolean refused;
    private long refusedSince;
    private long lastRefusedAt;

    /**
     * Creates the route of a relay that has made no call and knows no peers.
     *
     * @param clock returns the time in ms
     */
    StoreRoute(EventLog log, LongSupplier clock) {
        this.log = log;
        this.clock = clock;
    }

    /** Sets what returns where the live peers make reads for others, in the order in which they are asked. */
    public void setPeers(Supplier<List<Address>> peers) {
        livePeers = peers;
    }

    /** Returns whether the store has refused or not answered the last read that was made at it. */
    public boolean isRefused() {
        return refused;
    }

    /** Returns whether the store has refused this relay, and no read was made at it for so many ms. */
    public boolean isRefusedFor(long millis) {
        return refused && clock.getAsLong() - lastRefusedAt >= millis;
    }

    /** Returns whether peers are to be asked: some are live, and they haven't just failed one after the other. */
    public boolean mayAskPeers() {
        return clock.getAsLong() >= peersAskedAgainAt && !livePeers.get().isEmpty();
    }

    /**
     * Returns the peer to ask.
     *
     * @param attempt how many peers are asked before it for the same read
     * @throws IllegalStateException if none was ever known
     */
    public Address peer(int attempt) {
        List<Address> live = livePeers.get();
        lastPeers = live.isEmpty() ? lastPeers : live;
        if (lastPeers.isEmpty()) {
            throw new IllegalStateException("no peer is known");
        }
        return lastPeers.get((firstPeer + attempt) % lastPeers.size());
    }

    /** Handles a read that a peer hasn't made: another one is asked next. */
    public void onPeerFailed() {
        firstPeer = (firstPeer + 1) % Math.max(1, lastPeers.size());
    }

    /** Handles a read that none of those asked has made: during an outage, all relays would ask each other. */
    public void onPeersFailed() {
        peersAskedAgainAt = clock.getAsLong() + PEERS_PAUSE_MILLIS;
    }

    /** Handles a read at the store that it has refused or not answered. */
    public void onRefused(String reason) {
        lastRefusedAt = clock.getAsLong();
        if (refused) {
            return;
        }
        refused = true;
        refusedSince = lastRefusedAt;
        log.warn(
                "store_refuses",
                "reason",
                reason,
                "peers",
                Integer.toString(livePeers.get().size()));
    }

    /** Handles a read at the store that it has served. */
    public void onServed() {
        if (refused) {
            log.info("store_serves_again", "after_ms", Long.toString(clock.getAsLong() - refusedSince));
        }
        refused = false;
    }
}
