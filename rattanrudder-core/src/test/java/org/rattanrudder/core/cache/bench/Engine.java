package org.rattanrudder.core.cache.bench;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.rattanrudder.core.model.Digest;

/** An engine's prefix cache with least-recently-used eviction. */
final class Engine {
    private final int capacity;
    private final Set<Digest> blocks = new LinkedHashSet<>();

    Engine(int capacity) {
        this.capacity = capacity;
    }

    boolean holds(Digest block) {
        return blocks.contains(block);
    }

    /** Returns how many leading blocks the engine holds. */
    int cached(List<Digest> names) {
        int cached = 0;
        while (cached < names.size() && blocks.contains(names.get(cached))) {
            cached++;
        }
        return cached;
    }

    /**
     * Stores blocks, the last ones first, so that the end of a chain is evicted first; returns the evicted blocks.
     */
    List<Digest> store(List<Digest> names) {
        for (int index = names.size() - 1; index >= 0; index--) {
            blocks.remove(names.get(index));
            blocks.add(names.get(index));
        }
        List<Digest> evicted = new ArrayList<>();
        Iterator<Digest> oldest = blocks.iterator();
        while (blocks.size() > capacity) {
            evicted.add(oldest.next());
            oldest.remove();
        }
        return evicted;
    }
}
