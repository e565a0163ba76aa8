package org.rattanrudder.daemon.relay;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.parts.StoreLateness;

/**
 * Gathers how late this relay's fetches from each store were, for the other relays: one of many fetches too rarely to
 * notice in time that a store's link has turned slow.
 */
final class FetchNews {
    private final Map<Address, StoreLateness> untold = new LinkedHashMap<>();

    /** Notes by how much an answer was late whose prompt was read from a store, in ms. */
    void observed(Address store, double excessMillis) {
        untold.merge(store, StoreLateness.none(store).with(excessMillis), (known, one) -> known.with(excessMillis));
    }

    /** Hands out what was gathered, and begins anew. */
    List<StoreLateness> take() {
        List<StoreLateness> gathered = List.copyOf(untold.values());
        untold.clear();
        return gathered;
    }
}
