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

/**
 * The pending lookups of missing blocks: one for each store that may hold some of them, all sent at the same time.
 */
final class Lookups {
    static final long MIN_WAIT_MICROS = 5_000;
    static final long MAX_WAIT_MICROS = 50_000;
    /** A lookup may take the time to compute the missing tokens, divided by this. */
    private static final int COMPUTE_TIME_DIVISOR = 10;

    private final LongSupplier numbers;
    private final BlockCatalog catalog;
    private final Map<Long, Lookup> pending = new LinkedHashMap<>();

    Lookups(LongSupplier numbers, BlockCatalog catalog) {
        this.numbers = numbers;
        this.catalog = catalog;
    }

    /**
     * Returns how long a prompt waits for lookups at most, given the time to compute what it lacks, in microseconds.
     */
    long maxWaitMicros(long computeMicros) {
        return Math.min(MAX_WAIT_MICROS, Math.max(MIN_WAIT_MICROS, computeMicros / COMPUTE_TIME_DIVISOR));
    }

    /** Looks up the missing blocks in the stores whose circuit breakers allow it. */
    void send(
            Preparation preparation,
            Predicate<Digest> needsLookup,
            Choices choices,
            long nowMicros,
            Consumer<? super CompanionEffect> effects) {
        Map<StoreLink, List<Digest>> requested = new LinkedHashMap<>();
        for (int index = preparation.firstMissing; index < preparation.names.size(); index++) {
            Digest block = preparation.names.get(index);
            if (needsLookup.test(block)) {
                choices.of(index).stream()
                        .filter(store -> store.circuitBreaker.allowsRequest(nowMicros))
                        .forEach(store -> requested
                                .computeIfAbsent(store, none -> new ArrayList<>())
                                .add(block));
            }
        }
        requested.forEach((store, blocks) -> {
            long number = numbers.getAsLong();
            store.circuitBreaker.onRequest();
            preparation.onLookupSent();
            pending.put(number, new Lookup(store, preparation, blocks, preparation.waitUntilMicros()));
            effects.accept(new CompanionEffect.LookUpBlocks(number, store.address, List.copyOf(blocks)));
        });
    }

    /** Handles the end of a lookup; returns whether a prompt was still waiting for it. */
    boolean onAnswer(CompanionEvent.BlockLookupEnded event, long nowMicros) {
        Lookup lookup = pending.remove(event.lookup());
        if (lookup == null) {
            return false;
        }
        lookup.preparation().onLookupEnded();
        if (!event.answered()) {
            lookup.store().circuitBreaker.onFailure(nowMicros);
            return true;
        }
        lookup.store().circuitBreaker.onSuccess();
        update(lookup, event.found(), nowMicros);
        return true;
    }

    /** Cancels the lookups whose prompts have stopped waiting. A store that is too slow counts as unavailable. */
    void expire(long nowMicros) {
        Iterator<Lookup> all = pending.values().iterator();
        while (all.hasNext()) {
            Lookup lookup = all.next();
            if (nowMicros >= lookup.untilMicros()) {
                all.remove();
                lookup.preparation().onLookupEnded();
                lookup.store().circuitBreaker.onFailure(nowMicros);
            }
        }
    }

    private void update(Lookup lookup, List<StoredBlock> found, long nowMicros) {
        StoreLink store = lookup.store();
        Map<Digest, StoredBlock> storedBlocks = new HashMap<>();
        for (StoredBlock storedBlock : found) {
            if (store.updateIncarnation(storedBlock.incarnation())) {
                // The store has restarted: it holds other bytes or none, so references into its earlier memory are
                // invalid.
                catalog.clearAllStored(store.index);
            }
            storedBlocks.put(storedBlock.block(), storedBlock);
        }
        for (Digest block : lookup.blocks()) {
            StoredBlock storedBlock = storedBlocks.get(block);
            if (storedBlock == null) {
                catalog.clearStore(block, store.index);
            } else {
                catalog.setStore(block, store.index, nowMicros);
                lookup.preparation().addLocation(new BlockLocation(storedBlock, store), nowMicros);
            }
        }
    }

    /** Returns the stores that may hold the block at an index. */
    @FunctionalInterface
    interface Choices {
        List<StoreLink> of(int index);
    }

    private record Lookup(StoreLink store, Preparation preparation, List<Digest> blocks, long untilMicros) {}
}
