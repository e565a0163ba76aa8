package org.rattanrudder.daemon.relay.store;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.rattanrudder.core.gateway.ContextStore;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.parts.SharedStoreUpdate;
import org.rattanrudder.daemon.relay.process.RelayState;
import org.rattanrudder.daemon.relay.targets.SelfReports;

/** Watches the configured context stores, one {@link StoreWatch} each, and evicts outdated parts from them. */
public final class StoreWatches {
    private final RelayState state;
    private final SelfReports selfReports;
    private final String relayId;
    private final Consumer<SharedStoreUpdate> updateSender;
    private final Map<Address, StoreWatch> watches = new HashMap<>();
    private final OutdatedPartEvictor partEvictor;

    /**
     * Creates watches of no store.
     *
     * @param relayId names this process of the relay, and orders the polls of relays
     * @param updateSender sends an update of a store to peers
     */
    public StoreWatches(
            RelayState state, SelfReports selfReports, String relayId, Consumer<SharedStoreUpdate> updateSender) {
        this.state = state;
        this.selfReports = selfReports;
        this.relayId = relayId;
        this.updateSender = updateSender;
        partEvictor = new OutdatedPartEvictor(state, watches);
    }

    /** Starts to watch the stores that are new in a configuration, and stops to watch those that aren't in it. */
    void update(List<ContextStore> configured) {
        Set<Address> wanted = configured.stream().map(ContextStore::address).collect(Collectors.toSet());
        for (Address removed : List.copyOf(watches.keySet())) {
            if (!wanted.contains(removed)) {
                watches.remove(removed).close();
            }
        }
        for (Address address : wanted) {
            if (!watches.containsKey(address)) {
                StoreWatch watch = new StoreWatch(state, selfReports, relayId, address, updateSender);
                watches.put(address, watch);
                watch.start();
            }
        }
    }

    /** Applies an update that a peer has received from a store; updates of stores that aren't watched are ignored. */
    public void onSharedUpdate(SharedStoreUpdate update) {
        StoreWatch watch = watches.get(update.store());
        if (watch != null) {
            watch.onSharedUpdate(update);
        }
    }

    /** Updates which weights this relay votes to retire, by the targets that it knows. */
    public void updateVotes(long nowMillis) {
        partEvictor.updateVotes(nowMillis);
    }

    /** Evicts a batch of outdated parts from each store, if a scan is due; called periodically. */
    public void evictOutdatedParts(long nowMillis) {
        partEvictor.evict(nowMillis);
    }
}
