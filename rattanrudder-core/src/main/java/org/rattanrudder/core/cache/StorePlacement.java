package org.rattanrudder.core.cache;

import java.util.Comparator;
import java.util.List;
import org.rattanrudder.core.model.Digest;

/**
 * Chooses the stores of a prompt's blocks by rendezvous hashing, so that every companion looks in the same stores.
 *
 * <p>Consecutive blocks go to the same store: a chain can be used only up to its first missing block, so a chain
 * that is spread block by block would be nearly useless after the loss of one store.
 */
final class StorePlacement {
    /** How many stores may hold a block: the first choice, and another if that one is full or unavailable. */
    static final int MAX_CHOICES = 2;

    private StorePlacement() {}

    /** Returns the block name that determines the stores of the block at this index. */
    static Digest anchor(List<Digest> names, int index, int segmentBlocks) {
        return names.get(index - index % segmentBlocks);
    }

    /** Returns the stores of an anchor, the first choice first. */
    static List<StoreLink> choices(List<StoreLink> stores, Digest anchor) {
        return stores.stream()
                .sorted(Comparator.comparingLong((StoreLink store) -> store.weight(anchor))
                        .reversed()
                        .thenComparing(store -> store.name))
                .limit(MAX_CHOICES)
                .toList();
    }
}
