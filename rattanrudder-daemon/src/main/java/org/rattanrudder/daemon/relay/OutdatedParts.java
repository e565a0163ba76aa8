package org.rattanrudder.daemon.relay;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.parts.PartKey;

/**
 * Frees parts of weights that no engine serves any more.
 *
 * <p>A fetch of such a part can't be under way: engines refuse requests for weights that they don't serve, and all of
 * them have served the newest ones for a while.
 */
final class OutdatedParts {
    /** How long after all engines have new weights parts of older ones are freed, in ms. */
    private static final long FREE_AFTER_MILLIS = 5_000;

    private static final int FREED_AT_ONCE = 400;

    private final RelayState state;
    private final Map<Address, StoreWatch> stores;
    private long settledSince = -1;

    OutdatedParts(RelayState state, Map<Address, StoreWatch> stores) {
        this.state = state;
        this.stores = stores;
    }

    /** Frees some, if it is time. */
    void free(long now) {
        long oldest = oldestWeights(now);
        if (oldest <= 0) {
            settledSince = -1;
            return;
        }
        settledSince = settledSince < 0 ? now : settledSince;
        if (now - settledSince < FREE_AFTER_MILLIS) {
            return;
        }
        stores.forEach((address, watch) -> free(address, watch, oldest));
        settledSince = now;
    }

    private void free(Address address, StoreWatch watch, long oldest) {
        List<PartKey> parts = state.directory().outdated(address, oldest);
        if (!parts.isEmpty()) {
            List<PartKey> batch = parts.subList(0, Math.min(parts.size(), FREED_AT_ONCE));
            watch.free(batch, state.directory().incarnation(address));
        }
    }

    /** Returns the newest version if all engines serve it; 0 if some don't, or if several models are served. */
    private long oldestWeights(long now) {
        Optional<String> model = state.weights().onlyModel();
        if (model.isEmpty()) {
            return 0;
        }
        long newest = state.weights().newest(model.get());
        boolean all = state.fleet().all(now).stream()
                .filter(target -> target.weights(model.get()) > 0)
                .allMatch(target -> target.weights(model.get()) >= newest);
        return all ? newest : 0;
    }
}
