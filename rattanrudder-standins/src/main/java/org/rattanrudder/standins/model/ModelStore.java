package org.rattanrudder.standins.model;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The context stores: parts are there some time after an engine has read them; transfers queue on each store's link.
 */
final class ModelStore {
    private static final double MICROS_PER_MILLI = 1_000;

    private final Map<String, Long> heldFrom = new HashMap<>();
    private final long knownAfterMillis;
    private final double tokensPerMilli;
    private final long[] linkFreeAt;

    /**
     * Makes empty stores.
     *
     * @param knownAfterMillis how long a save takes until relays know of it
     * @param stores how many there are
     * @param tokensPerMilli tokens that the link of one carries in a ms
     */
    ModelStore(long knownAfterMillis, int stores, double tokensPerMilli) {
        this.knownAfterMillis = knownAfterMillis;
        this.tokensPerMilli = tokensPerMilli;
        linkFreeAt = new long[stores];
    }

    /** Saves a part that no store holds yet. */
    void save(ModelPart part, long nowMicros) {
        if (!heldFrom.containsKey(part.id())) {
            long there = transfer(part, nowMicros);
            heldFrom.put(part.id(), Math.round(there / MICROS_PER_MILLI) + knownAfterMillis);
        }
    }

    boolean holds(ModelPart part, long nowMillis) {
        return nowMillis >= heldFrom.getOrDefault(part.id(), Long.MAX_VALUE);
    }

    /** Returns when parts that are fetched now have come over their stores' links, in microseconds. */
    long fetched(List<ModelPart> parts, long nowMicros) {
        return parts.stream().mapToLong(part -> transfer(part, nowMicros)).max().orElse(nowMicros);
    }

    private long transfer(ModelPart part, long nowMicros) {
        int store = Math.floorMod(part.id().hashCode(), linkFreeAt.length);
        long takes = Math.round(MICROS_PER_MILLI * part.tokens() / tokensPerMilli);
        linkFreeAt[store] = Math.max(linkFreeAt[store], nowMicros) + takes;
        return linkFreeAt[store];
    }
}
