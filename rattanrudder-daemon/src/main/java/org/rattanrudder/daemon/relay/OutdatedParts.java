package org.rattanrudder.daemon.relay;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.parts.PartKey;
import org.rattanrudder.core.parts.PartRetirement;

/** Frees parts of weights that no engine serves any more. */
final class OutdatedParts {
    private static final int FREED_AT_ONCE = 400;

    /**
     * How often stores are looked at once parts of a version were freed, in ms: their news of it take some hundred, and
     * a look goes through all that they hold.
     */
    private static final long AGAIN_MILLIS = 2_000;

    private final RelayState state;
    private final Map<Address, StoreWatch> stores;
    private final PartRetirement retirement = new PartRetirement();
    private long freedBefore;
    private long lookedAt;

    OutdatedParts(RelayState state, Map<Address, StoreWatch> stores) {
        this.state = state;
        this.stores = stores;
    }

    /** Frees some, if it is time. */
    void free(long now) {
        retirement.updateOldestServed(oldestServed(now), now);
        long before = retirement.evictableBefore(now);
        boolean due = before != freedBefore || now - lookedAt >= AGAIN_MILLIS;
        if (before > 0 && due) {
            freedBefore = before;
            lookedAt = now;
            stores.forEach((address, watch) -> free(address, watch, before));
        }
    }

    private void free(Address address, StoreWatch watch, long before) {
        List<PartKey> parts = state.directory().outdatedParts(address, before);
        if (!parts.isEmpty()) {
            List<PartKey> batch = parts.subList(0, Math.min(parts.size(), FREED_AT_ONCE));
            watch.free(batch, state.directory().incarnation(address));
        }
    }

    /** Returns the oldest weights that an engine serves; 0 if it isn't known, or if several models are served. */
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
