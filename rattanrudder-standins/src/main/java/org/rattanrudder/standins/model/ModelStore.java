package org.rattanrudder.standins.model;

import java.util.HashMap;
import java.util.Map;

/** All context stores as one: parts are there some time after an engine has read them. */
final class ModelStore {
    private final Map<String, Long> heldFrom = new HashMap<>();
    private final long knownAfterMillis;

    /**
     * Makes an empty store.
     *
     * @param knownAfterMillis how long a save takes until relays know of it
     */
    ModelStore(long knownAfterMillis) {
        this.knownAfterMillis = knownAfterMillis;
    }

    void save(ModelPart part, long nowMillis) {
        heldFrom.putIfAbsent(part.id(), nowMillis + knownAfterMillis);
    }

    boolean holds(ModelPart part, long nowMillis) {
        return nowMillis >= heldFrom.getOrDefault(part.id(), Long.MAX_VALUE);
    }
}
