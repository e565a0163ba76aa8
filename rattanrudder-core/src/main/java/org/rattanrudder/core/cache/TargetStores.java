package org.rattanrudder.core.cache;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.rattanrudder.core.document.ServiceDocument;
import org.rattanrudder.core.document.StoreSettings;

/** The stores in a target's document, each with the target's share of its link. */
final class TargetStores {
    private static final int MAX_STORE_INDEXES = 100;

    private final BlockCatalog catalog;
    private final RandomGenerator random;
    private List<StoreLink> stores = List.of();
    private int nextIndex;

    TargetStores(BlockCatalog catalog, RandomGenerator random) {
        this.catalog = catalog;
        this.random = random;
    }

    /**
     * Updates the stores from a document. A store that remains keeps its circuit breaker and the bytes counted
     * against its link.
     */
    void update(ServiceDocument document, long nowMicros) {
        List<StoreLink> updated = new ArrayList<>();
        for (StoreSettings settings : document.stores()) {
            long share = settings.linkBytesPerSecond() / document.targets().size();
            StoreLink link = stores.stream()
                    .filter(store -> store.isSameAs(settings))
                    .findFirst()
                    .orElseGet(() -> add(settings, share, nowMicros));
            link.budget.updateLimit(share, nowMicros);
            updated.add(link);
        }
        stores = List.copyOf(updated);
    }

    List<StoreLink> all() {
        return stores;
    }

    /** Returns the highest measured throughput of a store, in bytes per second; 0 if none is measured. */
    long fastestBytesPerSecond() {
        return stores.stream()
                .mapToLong(store -> store.throughput.measuredPerSecond())
                .max()
                .orElse(0);
    }

    private StoreLink add(StoreSettings settings, long share, long nowMicros) {
        int index = nextIndex++ % MAX_STORE_INDEXES;
        catalog.clearAllStored(index);
        return new StoreLink(index, settings, share, random, nowMicros);
    }
}
