package org.rattanrudder.core.cache;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.rattanrudder.core.companion.CompanionEffect;
import org.rattanrudder.core.companion.CompanionEvent;
import org.rattanrudder.core.companion.CompanionEvent.StoredBlock;
import org.rattanrudder.core.model.Digest;

/** The questions to stores that are open: one to each store that may hold a missing block, all at the same time. */
final class Lookups {
    static final long SHORTEST_MICROS = 5_000;
    static final long LONGEST_MICROS = 50_000;
    /** A lookup may take this part of the time that computing the missing tokens would. */
    private static final int PART_OF_COMPUTE = 10;

    private final LongSupplier numbers;
    private final BlockCatalog catalog;
    private final Map<Long, Lookup> open = new LinkedHashMap<>();

    Lookups(LongSupplier numbers, BlockCatalog catalog) {
        this.numbers = numbers;
        this.catalog = catalog;
    }

    /** Returns how long a prompt waits for answers, in microseconds, if computing what it lacks takes so long. */
    long boundMicros(long computeMicros) {
        return Math.min(LONGEST_MICROS, Math.max(SHORTEST_MICROS, computeMicros / PART_OF_COMPUTE));
    }

    /** Asks the stores that are not left alone for the blocks that are missing. */
    void send(
            Preparation preparation,
            Predicate<Digest> askable,
            Choices choices,
            long nowMicros,
            Consumer<? super CompanionEffect> effects) {
        Map<StoreLink, List<Digest>> asked = new LinkedHashMap<>();
        for (int index = preparation.first; index < preparation.names.size(); index++) {
            Digest block = preparation.names.get(index);
            if (askable.test(block)) {
                choices.of(index).stream()
                        .filter(store -> store.health.isUsable(nowMicros))
                        .forEach(store -> asked.computeIfAbsent(store, none -> new ArrayList<>())
                                .add(block));
            }
        }
        asked.forEach((store, blocks) -> {
            long number = numbers.getAsLong();
            store.health.asked();
            preparation.lookupSent();
            open.put(number, new Lookup(store, preparation, blocks, preparation.boundMicros()));
            effects.accept(new CompanionEffect.LookUpBlocks(number, store.address, List.copyOf(blocks)));
        });
    }

    /** Takes an answer; returns whether a prompt still waited for it. */
    boolean answered(CompanionEvent.BlockLookupEnded event, long nowMicros) {
        Lookup lookup = open.remove(event.lookup());
        if (lookup == null) {
            return false;
        }
        lookup.preparation().lookupEnded();
        if (!event.answered()) {
            lookup.store().health.failed(nowMicros);
            return true;
        }
        lookup.store().health.answered();
        learn(lookup, event.found(), nowMicros);
        return true;
    }

    /** Gives up the lookups whose prompts wait no longer: a store that is too slow counts as one that is gone. */
    void expire(long nowMicros) {
        Iterator<Lookup> all = open.values().iterator();
        while (all.hasNext()) {
            Lookup lookup = all.next();
            if (nowMicros >= lookup.untilMicros()) {
                all.remove();
                lookup.preparation().lookupEnded();
                lookup.store().health.failed(nowMicros);
            }
        }
    }

    private void learn(Lookup lookup, List<StoredBlock> found, long nowMicros) {
        StoreLink store = lookup.store();
        Map<Digest, StoredBlock> places = new HashMap<>();
        for (StoredBlock place : found) {
            if (store.isRestarted(place.incarnation())) {
                // Guards against references into a store that was restarted and holds other bytes or none.
                catalog.forgetStore(store.index);
            }
            places.put(place.block(), place);
        }
        for (Digest block : lookup.blocks()) {
            StoredBlock place = places.get(block);
            if (place == null) {
                catalog.clearStore(block, store.index);
            } else {
                catalog.setStore(block, store.index, nowMicros);
                lookup.preparation().offer(new StoredAt(place, store), nowMicros);
            }
        }
    }

    /** Says which stores may hold the block at an index. */
    @FunctionalInterface
    interface Choices {
        List<StoreLink> of(int index);
    }

    private record Lookup(StoreLink store, Preparation preparation, List<Digest> blocks, long untilMicros) {}
}
