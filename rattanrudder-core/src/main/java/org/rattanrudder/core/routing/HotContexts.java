package org.rattanrudder.core.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * A table of bounded size with the most frequently used contexts.
 *
 * <p>Other contexts need no state, since their home is computed from their key. When the table is full, a new context
 * evicts the least frequent one of a small random sample. Frequent contexts so remain in the table, and it need not be
 * kept in any order.
 */
final class HotContexts {
    /** Maximum number of contexts in the table. */
    static final int MAX_CONTEXTS = 1_024;

    private static final int EVICTION_SAMPLES = 4;

    private final RandomGenerator random;
    private final Map<Long, HotContext> contexts = new HashMap<>();
    private final HotContext[] slots = new HotContext[MAX_CONTEXTS];

    HotContexts(RandomGenerator random) {
        this.random = random;
    }

    /** Returns the context's entry for this pool; empty if there is none. */
    Optional<HotContext> find(long key, TargetPool pool) {
        return Optional.ofNullable(contexts.get(key)).filter(context -> context.belongsTo(pool));
    }

    int size() {
        return contexts.size();
    }

    /** Records a request with this context and returns the context's entry, which is added if needed. */
    HotContext recordRequest(long key, TargetPool pool, long nowMicros) {
        HotContext existing = contexts.get(key);
        if (existing != null && existing.belongsTo(pool)) {
            existing.recordRequest(nowMicros);
            return existing;
        }
        int slot = existing == null ? chooseSlot(nowMicros) : indexOf(existing);
        HotContext updated =
                existing == null ? new HotContext(key, pool, nowMicros) : existing.movedToPool(pool, nowMicros);
        if (slots[slot] != null) {
            contexts.remove(slots[slot].key);
        }
        slots[slot] = updated;
        contexts.put(key, updated);
        updated.recordRequest(nowMicros);
        return updated;
    }

    private int chooseSlot(long nowMicros) {
        if (contexts.size() < MAX_CONTEXTS) {
            return contexts.size();
        }
        int leastFrequent = random.nextInt(MAX_CONTEXTS);
        for (int sample = 1; sample < EVICTION_SAMPLES; sample++) {
            int slot = random.nextInt(MAX_CONTEXTS);
            if (slots[slot].requestsPerSecond(nowMicros) < slots[leastFrequent].requestsPerSecond(nowMicros)) {
                leastFrequent = slot;
            }
        }
        return leastFrequent;
    }

    private int indexOf(HotContext context) {
        for (int slot = 0; slot < MAX_CONTEXTS; slot++) {
            if (slots[slot] == context) {
                return slot;
            }
        }
        throw new IllegalStateException("a context of the table has no slot");
    }
}
