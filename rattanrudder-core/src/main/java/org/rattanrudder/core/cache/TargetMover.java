package org.rattanrudder.core.cache;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.rattanrudder.core.companion.CompanionEffect;
import org.rattanrudder.core.companion.CompanionEvent;
import org.rattanrudder.core.companion.CompanionEvent.MoveOutcome;
import org.rattanrudder.core.document.CacheSettings;
import org.rattanrudder.core.document.ServiceDocument;
import org.rattanrudder.core.document.TargetSettings;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.Digest;

/** Fetches context into the engine of one target, and exports the blocks worth retaining to the stores. */
final class TargetMover {
    /**
     * The maximum number of fetches of one prompt in flight: when one fails, those of the blocks after it were
     * useless.
     */
    static final int MAX_FETCHES_PER_PROMPT = 4;

    private final MoverPolicy policy;
    private final BlockCatalog catalog;
    private final LinkBudget targetBudget;
    private final Moves moves;
    private final ExportScheduler exports;
    private final Lookups lookups;
    private final TargetStores stores;
    private final Map<AttemptId, Preparation> preparations = new LinkedHashMap<>();
    private CacheSettings cache;
    private Address address;
    private long prefillSpeed;
    private long maxBlockBytes;

    TargetMover(
            TargetSettings target,
            MoverPolicy policy,
            int catalogBlocks,
            LongSupplier numbers,
            RandomGenerator random,
            long nowMicros) {
        this.policy = policy;
        this.catalog = new BlockCatalog(catalogBlocks, policy.retentionScore(), random);
        this.targetBudget = new LinkBudget(target.linkBytesPerSecond(), nowMicros);
        this.moves = new Moves(numbers, targetBudget);
        this.exports = new ExportScheduler(catalog, moves, policy);
        this.lookups = new Lookups(numbers, catalog);
        this.stores = new TargetStores(catalog, random);
    }

    /** Updates the document and the settings of the target. */
    void update(ServiceDocument document, TargetSettings target, long nowMicros) {
        if (prefillSpeed == 0) {
            prefillSpeed = document.cache().prefillTokensPerSecond();
        }
        cache = document.cache();
        if (address != null && !address.equals(target.address())) {
            catalog.clearAllHeld();
        }
        address = target.address();
        targetBudget.updateLimit(target.linkBytesPerSecond(), nowMicros);
        stores.update(document, nowMicros);
    }

    /**
     * Starts to prepare a prompt's context; returns the prompts that may be sent, including this one if it has
     * nothing to wait for.
     */
    List<ContextReady> prepare(ContextPrompt prompt, long nowMicros, Consumer<? super CompanionEffect> effects) {
        List<Digest> names = prompt.blocks();
        int held = heldPrefix(names, nowMicros);
        for (int index = 0; index < names.size(); index++) {
            catalog.recordUse(names.get(index), index, nowMicros);
        }
        Preparation preparation = new Preparation(
                prompt, names, held, nowMicros + lookups.maxWaitMicros(computeMicros(missingTokens(prompt, held))));
        lookups.send(preparation, this::needsLookup, choices(names, nowMicros), nowMicros, effects);
        preparations.put(prompt.attempt(), preparation);
        return advance(nowMicros, effects);
    }

    /** Handles the end of a run: the engine now holds the prompt's blocks, unless it ran with other weights. */
    void onCompleted(
            ContextPrompt prompt,
            String weightVersion,
            long prefillTokensPerSecond,
            long nowMicros,
            Consumer<? super CompanionEffect> effects) {
        if (!weightVersion.equals(prompt.weightVersion())) {
            // If weights are swapped during a run, the engine holds blocks of the new weights under names of the old
            // version: they are neither assumed to be held nor exported.
            return;
        }
        if (prefillTokensPerSecond > 0) {
            prefillSpeed = prefillTokensPerSecond;
        }
        List<Digest> names = prompt.blocks();
        names.forEach(block -> catalog.setHeld(block, true, nowMicros));
        exports.offer(names, weightVersion);
        startMoves(nowMicros, effects);
    }

    /** Removes a cancelled prompt. Its fetches in flight continue, since other prompts may wait for them. */
    void cancel(AttemptId attempt) {
        Preparation preparation = preparations.remove(attempt);
        if (preparation != null) {
            releasePending(preparation);
        }
    }

    List<ContextReady> onLookupEnded(
            CompanionEvent.BlockLookupEnded event, long nowMicros, Consumer<? super CompanionEffect> effects) {
        return lookups.onAnswer(event, nowMicros) ? advance(nowMicros, effects) : List.of();
    }

    List<ContextReady> onMoveEnded(
            CompanionEvent.MoveEnded event, long nowMicros, Consumer<? super CompanionEffect> effects) {
        endMove(event, nowMicros, effects);
        return advance(nowMicros, effects);
    }

    List<ContextReady> onTick(long nowMicros, Consumer<? super CompanionEffect> effects) {
        for (long number : moves.overdue(nowMicros)) {
            endMove(
                    new CompanionEvent.MoveEnded(number, MoveOutcome.UNREACHABLE, moves.bytes(number)),
                    nowMicros,
                    effects);
        }
        lookups.expire(nowMicros);
        return advance(nowMicros, effects);
    }

    /** Handles an engine's cache events. After a gap any hint may be wrong, so all are cleared. */
    void onCacheEvents(CompanionEvent.CacheEventsReported event, long nowMicros) {
        if (event.gap()) {
            catalog.clearAllHeld();
        }
        event.events().forEach(change -> catalog.setHeld(change.block(), change.stored(), nowMicros));
    }

    long stateBytes() {
        return catalog.bytes();
    }

    long fetchBytesPerSecond() {
        return stores.fastestBytesPerSecond();
    }

    boolean isIdle() {
        return preparations.isEmpty() && moves.isIdle() && exports.isEmpty();
    }

    /**
     * Returns the stores to look in. A lookup is of no use if the link of the store or of the target has no room for
     * a block at all.
     */
    private Lookups.Choices choices(List<Digest> names, long nowMicros) {
        boolean linked = targetBudget.limit(nowMicros) >= cache.pieceBytes();
        return index ->
                StorePlacement.choices(stores.all(), StorePlacement.anchor(names, index, policy.segmentBlocks()))
                        .stream()
                        .filter(store -> linked && store.budget.limit(nowMicros) >= cache.pieceBytes())
                        .toList();
    }

    /**
     * Returns how many leading blocks the engine holds and will still hold when the prompt arrives.
     *
     * <p>An engine evicts the least recently used blocks first, and of one prompt the last ones. If the end of a
     * prompt has been evicted, its head is next: fetching the end would evict the head, which the engine would then
     * compute again. So of such a prompt, only the part of the head that other prompts have used later counts as
     * held.
     */
    private int heldPrefix(List<Digest> names, long nowMicros) {
        int held = 0;
        while (held < names.size() && catalog.isHeld(names.get(held))) {
            held++;
        }
        if (held == names.size() || catalog.uses(names.get(held)) == 0) {
            return held;
        }
        Digest evicted = names.get(held);
        while (held > 0 && !catalog.isUsedAfter(names.get(held - 1), evicted)) {
            held--;
            catalog.setHeld(names.get(held), false, nowMicros);
        }
        return held;
    }

    /** A block whose fetch is in flight needs no lookup. */
    private boolean needsLookup(Digest block) {
        return moves.fetchInFlight(block) == null;
    }

    private long missingTokens(ContextPrompt prompt, int held) {
        return Math.max(0, prompt.shape().tokens() - (long) held * cache.pieceTokens());
    }

    private long computeMicros(long tokens) {
        return tokens * 1_000_000 / Math.max(1, prefillSpeed);
    }

    private List<ContextReady> advance(long nowMicros, Consumer<? super CompanionEffect> effects) {
        for (Preparation preparation : preparations.values()) {
            if (!preparation.isPlanned() && preparation.isLookedUp(nowMicros)) {
                plan(preparation, nowMicros);
            }
        }
        startMoves(nowMicros, effects);
        List<ContextReady> ready = new ArrayList<>();
        Iterator<Preparation> all = preparations.values().iterator();
        while (all.hasNext()) {
            Preparation preparation = all.next();
            if (preparation.isReady(nowMicros)) {
                all.remove();
                releasePending(preparation);
                ready.add(preparation.ready(cache.pieceTokens()));
            }
        }
        return ready;
    }

    private void plan(Preparation preparation, long nowMicros) {
        List<BlockLocation> locations = new ArrayList<>();
        for (int index = preparation.firstMissing; index < preparation.names.size(); index++) {
            boolean inFlight = moves.fetchInFlight(preparation.names.get(index)) != null;
            BlockLocation location = preparation.foundLocations(index);
            if (!inFlight && location == null) {
                break;
            }
            locations.add(inFlight ? null : location);
        }
        long missing = missingTokens(preparation.prompt, preparation.firstMissing);
        long left = preparation.prompt.deadlineMicros() - nowMicros;
        FetchPlan plan = FetchPlan.choose(locations, targetBudget, cache, prefillSpeed, missing, left, nowMicros);
        preparation.plan(locations.subList(0, plan.blocks()), nowMicros + plan.maxWaitMicros(left));
        preparation.unstarted().forEach(location -> addPending(location, 1));
        for (int index = 0; index < plan.blocks(); index++) {
            Move fetch = moves.fetchInFlight(preparation.names.get(preparation.firstMissing + index));
            if (fetch != null) {
                fetch.addWaiter(preparation, preparation.firstMissing + index);
            }
        }
    }

    private void releasePending(Preparation preparation) {
        preparation.unstarted().forEach(location -> addPending(location, -1));
    }

    private void addPending(BlockLocation location, int sign) {
        targetBudget.addPending(sign * location.block().bytes());
        location.store().budget.addPending(sign * location.block().bytes());
    }

    private void startMoves(long nowMicros, Consumer<? super CompanionEffect> effects) {
        for (Preparation preparation : preparations.values()) {
            startFetches(preparation, nowMicros, effects);
        }
        long bytes = Math.max(maxBlockBytes, cache.pieceBytes());
        exports.startExports(stores.all(), address, bytes, nowMicros, effects);
    }

    private void startFetches(Preparation preparation, long nowMicros, Consumer<? super CompanionEffect> effects) {
        int index = preparation.nextIndex();
        while (index >= 0 && preparation.fetchesInFlight() < MAX_FETCHES_PER_PROMPT) {
            if (!startFetch(preparation, index, nowMicros, effects)) {
                return;
            }
            index = preparation.nextIndex();
        }
    }

    /**
     * Starts or joins the fetch of one block; returns false if it must wait for a link. Without joining, many
     * prompts with the same context that arrive together would flood a link with copies of the same block.
     */
    private boolean startFetch(
            Preparation preparation, int index, long nowMicros, Consumer<? super CompanionEffect> effects) {
        Digest block = preparation.names.get(index);
        BlockLocation location = preparation.plannedLocation(index);
        Move fetch = moves.fetchInFlight(block);
        if (fetch != null || location == null || catalog.isHeld(block)) {
            preparation.onStarted(index, 0);
            if (fetch != null) {
                fetch.addWaiter(preparation, index);
            } else {
                preparation.onFetchEnded(index, catalog.isHeld(block));
            }
        } else {
            Digest parent = index == 0 ? preparation.prompt.root() : preparation.names.get(index - 1);
            String version = preparation.prompt.weightVersion();
            fetch = moves.startFetch(location, address, parent, version, nowMicros, effects);
            if (fetch == null) {
                return false;
            }
            fetch.addWaiter(preparation, index);
            preparation.onStarted(index, location.block().bytes());
        }
        if (location != null) {
            addPending(location, -1);
        }
        return true;
    }

    private void endMove(CompanionEvent.MoveEnded ended, long nowMicros, Consumer<? super CompanionEffect> effects) {
        Move move = moves.end(ended, nowMicros);
        if (move == null) {
            return;
        }
        MoveOutcome outcome = ended.outcome();
        maxBlockBytes = Math.max(maxBlockBytes, ended.bytes());
        if (!move.isFetch) {
            exports.onEnded(move, outcome, nowMicros, effects);
            return;
        }
        StoreLink store = move.store;
        switch (outcome) {
            case DONE -> {
                catalog.setHeld(move.block, true, nowMicros);
                store.circuitBreaker.onSuccess();
                store.throughput.add(ended.bytes(), nowMicros - move.startMicros);
            }
            case CORRUPT -> {
                // The slot was reused while it was read, or the block is damaged: in both cases the store's copy is
                // useless.
                catalog.clearStore(move.block, store.index);
                effects.accept(new CompanionEffect.DropBlock(store.address, move.block));
            }
            case GONE -> catalog.clearStore(move.block, store.index);
            case UNREACHABLE -> store.circuitBreaker.onFailure(nowMicros);
            default -> store.circuitBreaker.onSuccess();
        }
        move.complete(outcome == MoveOutcome.DONE);
    }
}
