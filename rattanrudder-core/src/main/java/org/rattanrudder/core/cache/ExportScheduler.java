package org.rattanrudder.core.cache;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.rattanrudder.core.companion.CompanionEffect;
import org.rattanrudder.core.companion.CompanionEvent.MoveOutcome;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.Digest;

/**
 * Decides which blocks of an engine's cache are exported to a store, and which blocks are evicted there to make room.
 */
final class ExportScheduler {
    /**
     * The maximum number of queued blocks. An engine soon evicts its oldest blocks, so a longer queue is of no use.
     */
    static final int MAX_QUEUE_LENGTH = 2048;
    /** The maximum number of exports in flight, so that a new fetch finds the links nearly free. */
    static final int MAX_IN_FLIGHT = 2;

    private final BlockCatalog catalog;
    private final Moves moves;
    private final MoverPolicy policy;
    private final Deque<ExportCandidate> reusedBlocks = new ArrayDeque<>();
    private final Deque<ExportCandidate> newBlocks = new ArrayDeque<>();
    private final Set<Digest> queued = new HashSet<>();

    ExportScheduler(BlockCatalog catalog, Moves moves, MoverPolicy policy) {
        this.catalog = catalog;
        this.moves = moves;
        this.policy = policy;
    }

    /** Queues the blocks that a run has left in the engine; those that have been reused go first. */
    void offer(List<Digest> names, String weightVersion) {
        for (int index = 0; index < names.size(); index++) {
            Digest block = names.get(index);
            boolean reused = catalog.uses(block) > 1;
            boolean eligible = reused || policy.exportOnFirstUse();
            if (!eligible || catalog.store(block) >= 0 || queued.size() >= MAX_QUEUE_LENGTH || !queued.add(block)) {
                continue;
            }
            Digest anchor = StorePlacement.anchor(names, index, policy.segmentBlocks());
            (reused ? reusedBlocks : newBlocks).add(new ExportCandidate(block, anchor, weightVersion, 0));
        }
    }

    /** Starts as many exports as the links have room for. */
    void startExports(
            List<StoreLink> stores,
            Address target,
            long bytes,
            long nowMicros,
            Consumer<? super CompanionEffect> effects) {
        while (moves.exportsInFlight() < MAX_IN_FLIGHT && !isEmpty()) {
            Deque<ExportCandidate> queue = reusedBlocks.isEmpty() ? newBlocks : reusedBlocks;
            ExportCandidate candidate = queue.getFirst();
            boolean obsolete = !catalog.isHeld(candidate.block())
                    || catalog.store(candidate.block()) >= 0
                    || !catalog.hasRoomForStored()
                    || candidate.attempts() >= 2 * StorePlacement.MAX_CHOICES;
            if (!obsolete) {
                StoreLink store = choose(stores, candidate, nowMicros);
                if (store == null || !moves.startExport(candidate, store, target, bytes, nowMicros, effects)) {
                    return;
                }
                store.circuitBreaker.onRequest();
            }
            queue.removeFirst();
            queued.remove(candidate.block());
        }
    }

    /** Handles the end of an export. */
    void onEnded(Move move, MoveOutcome outcome, long nowMicros, Consumer<? super CompanionEffect> effects) {
        ExportCandidate candidate = move.candidate();
        switch (outcome) {
            case DONE -> {
                move.store.circuitBreaker.onSuccess();
                catalog.setStore(move.block, move.store.index, nowMicros);
            }
            case FULL -> {
                move.store.circuitBreaker.onSuccess();
                makeRoom(candidate, move.store, nowMicros, effects);
            }
            case UNREACHABLE -> move.store.circuitBreaker.onFailure(nowMicros);
            case GONE -> catalog.setHeld(move.block, false, nowMicros);
            default -> move.store.circuitBreaker.onSuccess();
        }
    }

    boolean isEmpty() {
        return reusedBlocks.isEmpty() && newBlocks.isEmpty();
    }

    /**
     * Evicts the least valuable known block of a full store if its score is lower than the new block's, and retries
     * there; otherwise tries the other store. The first attempt at a store has an even number, the one after an
     * eviction an odd one.
     */
    private void makeRoom(
            ExportCandidate candidate, StoreLink store, long nowMicros, Consumer<? super CompanionEffect> effects) {
        boolean firstAttempt = candidate.attempts() % 2 == 0;
        Digest evicted = firstAttempt ? catalog.leastValuable(store.index, nowMicros) : null;
        boolean evict = evicted != null
                && (!policy.evictOnlyLessValuable()
                        || catalog.value(candidate.block(), nowMicros) > catalog.value(evicted, nowMicros));
        if (evict) {
            catalog.clearStore(evicted, store.index);
            effects.accept(new CompanionEffect.DropBlock(store.address, evicted));
        }
        ExportCandidate retry =
                firstAttempt && !evict ? candidate.nextAttempt().nextAttempt() : candidate.nextAttempt();
        if (queued.add(retry.block())) {
            reusedBlocks.addFirst(retry);
        }
    }

    private static StoreLink choose(List<StoreLink> stores, ExportCandidate candidate, long nowMicros) {
        List<StoreLink> choices = StorePlacement.choices(stores, candidate.anchor());
        for (int choice = candidate.attempts() / 2; choice < choices.size(); choice++) {
            if (choices.get(choice).circuitBreaker.allowsRequest(nowMicros)) {
                return choices.get(choice);
            }
        }
        return null;
    }
}
