package org.rattanrudder.daemon.relay.store;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.parts.PartKey;
import org.rattanrudder.core.parts.RetiredWeights;
import org.rattanrudder.daemon.relay.process.RelayState;

/** Evicts the parts of weights that no engine serves any more from context stores. */
final class OutdatedPartEvictor {
    private static final int MAX_BATCH_PARTS = 400;

    /**
     * Minimum time between two scans for the same version: updates on evicted parts take some 100 ms to arrive, and a
     * scan goes through all parts of all stores.
     */
    private static final long RESCAN_MILLIS = 2_000;

    private final RelayState state;
    private final Map<Address, StoreWatch> stores;
    private final RetiredWeights retired;
    private long lastOldestServed;
    private long lastRetiredBefore;
    private long lastEvictableBefore;
    private long lastScanAt;

    /** Creates an evictor for the watched context stores, by address. */
    OutdatedPartEvictor(RelayState state, Map<Address, StoreWatch> stores) {
        this.state = state;
        this.stores = stores;
        retired = state.retiredWeights();
    }

    /** Updates which weights this relay votes to retire, by the targets that it knows. */
    void updateVotes(long now) {
        long oldestServed = oldestServed(now);
        logIfChanged(oldestServed, now);
        retired.updateOldestServed(oldestServed);
        logIfRetired();
    }

    /** Evicts a batch of outdated parts from each store, if a scan is due. */
    void evict(long now) {
        updateVotes(now);
        long before = retired.evictableBefore(newestNamed(), now);
        boolean due = before != lastEvictableBefore || now - lastScanAt >= RESCAN_MILLIS;
        if (before > 0 && due) {
            lastEvictableBefore = before;
            lastScanAt = now;
            stores.forEach((address, watch) -> evict(address, watch, before));
        }
    }

    private void evict(Address address, StoreWatch watch, long before) {
        List<PartKey> parts = state.directory().outdatedParts(address, before);
        if (!parts.isEmpty()) {
            List<PartKey> batch = parts.subList(0, Math.min(parts.size(), MAX_BATCH_PARTS));
            watch.evict(batch, before, state.directory().incarnation(address));
        }
    }

    private void logIfChanged(long oldestServed, long now) {
        if (oldestServed != lastOldestServed) {
            lastOldestServed = oldestServed;
            state.log()
                    .info(
                            "oldest_weights_changed",
                            "version",
                            Long.toString(oldestServed),
                            "targets",
                            Integer.toString(state.fleet().all(now).size()));
        }
    }

    private void logIfRetired() {
        if (retired.retiredBefore() != lastRetiredBefore) {
            lastRetiredBefore = retired.retiredBefore();
            state.log()
                    .info(
                            "weights_retired",
                            "before",
                            Long.toString(lastRetiredBefore),
                            "oldest_served",
                            Long.toString(lastOldestServed));
        }
    }

    private long newestNamed() {
        return state.weights().onlyModel().map(state.weights()::newest).orElse(0L);
    }

    /** Returns the oldest version that an engine serves; 0 if it is unknown, or if there isn't exactly one model. */
    private long oldestServed(long now) {
        Optional<String> model = state.weights().onlyModel();
        if (model.isEmpty()) {
            return 0;
        }
        return state.fleet().all(now).stream()
                .mapToLong(target -> target.weights(model.get()))
                .filter(version -> version > 0)
                .min()
                .orElse(0);
    }
}
