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

/** Brings context to one target's engine and keeps what is worth keeping in the stores. */
final class TargetMover {
    /** The most fetches of one prompt at once; the blocks behind one that fails were fetched for nothing. */
    static final int FETCHES_AT_ONCE = 4;

    private final MoverPolicy policy;
    private final BlockCatalog catalog;
    private final LinkBudget targetBudget;
    private final Moves moves;
    private final Exports exports;
    private final Lookups lookups;
    private final TargetStores stores;
    private final Map<AttemptId, Preparation> preparations = new LinkedHashMap<>();
    private CacheSettings cache;
    private Address address;
    private long prefillSpeed;
    private long largestBytes;

    TargetMover(
            TargetSettings target,
            MoverPolicy policy,
            int catalogBlocks,
            LongSupplier numbers,
            RandomGenerator random,
            long nowMicros) {
        this.policy = policy;
        this.catalog = new BlockCatalog(catalogBlocks, policy.keepValue(), random);
        this.targetBudget = new LinkBudget(target.linkBytesPerSecond(), nowMicros);
        this.moves = new Moves(numbers, targetBudget);
        this.exports = new Exports(catalog, moves, policy);
        this.lookups = new Lookups(numbers, catalog);
        this.stores = new TargetStores(catalog, random);
    }

    /** Takes up a document. */
    void serve(ServiceDocument document, TargetSettings target, long nowMicros) {
        if (prefillSpeed == 0) {
            prefillSpeed = document.cache().prefillTokensPerSecond();
        }
        cache = document.cache();
        if (address != null && !address.equals(target.address())) {
            catalog.forgetHeld();
        }
        address = target.address();
        targetBudget.change(target.linkBytesPerSecond(), nowMicros);
        stores.serve(document, nowMicros);
    }

    /** Begins to bring a prompt's context; returns the prompts that may go, itself too if it waits for nothing. */
    List<ContextReady> prepare(ContextPrompt prompt, long nowMicros, Consumer<? super CompanionEffect> effects) {
        List<Digest> names = prompt.blocks();
        int held = heldHead(names, nowMicros);
        for (int index = 0; index < names.size(); index++) {
            catalog.see(names.get(index), index, nowMicros);
        }
        Preparation preparation = new Preparation(
                prompt, names, held, nowMicros + lookups.boundMicros(computeMicros(missingTokens(prompt, held))));
        lookups.send(preparation, this::isAskable, choices(names, nowMicros), nowMicros, effects);
        preparations.put(prompt.attempt(), preparation);
        return advance(nowMicros, effects);
    }

    /** Takes the end of a run: the engine now holds the prompt's blocks, unless it ran on other weights. */
    void ended(
            ContextPrompt prompt,
            String weightVersion,
            long prefillTokensPerSecond,
            long nowMicros,
            Consumer<? super CompanionEffect> effects) {
        if (!weightVersion.equals(prompt.weightVersion())) {
            // Guards against blocks of new weights under a name of the old ones, when weights are swapped during a
            // run: what the run left in the engine is neither believed nor exported.
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

    /** Forgets a prompt that is given up. Fetches that run go on: others may wait for them. */
    void abandon(AttemptId attempt) {
        Preparation preparation = preparations.remove(attempt);
        if (preparation != null) {
            unplan(preparation);
        }
    }

    List<ContextReady> found(
            CompanionEvent.BlockLookupEnded event, long nowMicros, Consumer<? super CompanionEffect> effects) {
        return lookups.answered(event, nowMicros) ? advance(nowMicros, effects) : List.of();
    }

    List<ContextReady> moveEnded(
            CompanionEvent.MoveEnded event, long nowMicros, Consumer<? super CompanionEffect> effects) {
        settle(event, nowMicros, effects);
        return advance(nowMicros, effects);
    }

    List<ContextReady> tick(long nowMicros, Consumer<? super CompanionEffect> effects) {
        for (long number : moves.overdue(nowMicros)) {
            settle(
                    new CompanionEvent.MoveEnded(number, MoveOutcome.UNREACHABLE, moves.bytes(number)),
                    nowMicros,
                    effects);
        }
        lookups.expire(nowMicros);
        return advance(nowMicros, effects);
    }

    /** Takes an engine's cache events. A gap means that any belief may be wrong, so all are dropped. */
    void cacheEvents(CompanionEvent.CacheEventsReported event, long nowMicros) {
        if (event.gap()) {
            catalog.forgetHeld();
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

    /** A store or target whose link has no room for a block at all isn't worth a question. */
    private Lookups.Choices choices(List<Digest> names, long nowMicros) {
        boolean linked = targetBudget.limit(nowMicros) >= cache.pieceBytes();
        return index ->
                StorePlacement.choices(stores.all(), StorePlacement.anchor(names, index, policy.segmentBlocks()))
                        .stream()
                        .filter(store -> linked && store.budget.limit(nowMicros) >= cache.pieceBytes())
                        .toList();
    }

    /**
     * Returns how many leading blocks the engine holds and will still hold when the prompt comes.
     *
     * <p>An engine frees what was used least recently, and of one prompt the end first. Where the end of a prompt has
     * been freed, its head is next: bringing the end back would push the head out, and the engine would compute it
     * again. So of such a prompt only a head that others have used since counts as held.
     */
    private int heldHead(List<Digest> names, long nowMicros) {
        int held = 0;
        while (held < names.size() && catalog.isHeld(names.get(held))) {
            held++;
        }
        if (held == names.size() || catalog.sights(names.get(held)) == 0) {
            return held;
        }
        Digest freed = names.get(held);
        while (held > 0 && !catalog.isUsedSince(names.get(held - 1), freed)) {
            held--;
            catalog.setHeld(names.get(held), false, nowMicros);
        }
        return held;
    }

    /** A block whose fetch runs needs no lookup. */
    private boolean isAskable(Digest block) {
        return moves.fetching(block) == null;
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
                unplan(preparation);
                ready.add(preparation.ready(cache.pieceTokens()));
            }
        }
        return ready;
    }

    private void plan(Preparation preparation, long nowMicros) {
        List<StoredAt> places = new ArrayList<>();
        for (int index = preparation.first; index < preparation.names.size(); index++) {
            boolean underWay = moves.fetching(preparation.names.get(index)) != null;
            StoredAt place = preparation.found(index);
            if (!underWay && place == null) {
                break;
            }
            places.add(underWay ? null : place);
        }
        long missing = missingTokens(preparation.prompt, preparation.first);
        long left = preparation.prompt.deadlineMicros() - nowMicros;
        FetchPlan plan = FetchPlan.choose(places, targetBudget, cache, prefillSpeed, missing, left, nowMicros);
        preparation.plan(places.subList(0, plan.blocks()), nowMicros + plan.boundMicros(left));
        preparation.unstarted().forEach(place -> reserve(place, 1));
        for (int index = 0; index < plan.blocks(); index++) {
            Move fetch = moves.fetching(preparation.names.get(preparation.first + index));
            if (fetch != null) {
                fetch.join(preparation, preparation.first + index);
            }
        }
    }

    private void unplan(Preparation preparation) {
        preparation.unstarted().forEach(place -> reserve(place, -1));
    }

    private void reserve(StoredAt place, int sign) {
        targetBudget.plan(sign * place.block().bytes());
        place.store().budget.plan(sign * place.block().bytes());
    }

    private void startMoves(long nowMicros, Consumer<? super CompanionEffect> effects) {
        for (Preparation preparation : preparations.values()) {
            startFetches(preparation, nowMicros, effects);
        }
        long bytes = Math.max(largestBytes, cache.pieceBytes());
        exports.start(stores.all(), address, bytes, nowMicros, effects);
    }

    private void startFetches(Preparation preparation, long nowMicros, Consumer<? super CompanionEffect> effects) {
        int index = preparation.nextIndex();
        while (index >= 0 && preparation.underWay() < FETCHES_AT_ONCE) {
            if (!startFetch(preparation, index, nowMicros, effects)) {
                return;
            }
            index = preparation.nextIndex();
        }
    }

    /**
     * Starts or joins the fetch of one block; returns false if it has to wait for a link. Joining guards against many
     * prompts of one context that return together flooding a link with copies of the same block.
     */
    private boolean startFetch(
            Preparation preparation, int index, long nowMicros, Consumer<? super CompanionEffect> effects) {
        Digest block = preparation.names.get(index);
        StoredAt place = preparation.place(index);
        Move fetch = moves.fetching(block);
        if (fetch != null || place == null || catalog.isHeld(block)) {
            preparation.started(index, 0);
            if (fetch != null) {
                fetch.join(preparation, index);
            } else {
                preparation.settled(index, catalog.isHeld(block));
            }
        } else {
            Digest parent = index == 0 ? preparation.prompt.root() : preparation.names.get(index - 1);
            String version = preparation.prompt.weightVersion();
            fetch = moves.fetch(place, address, parent, version, nowMicros, effects);
            if (fetch == null) {
                return false;
            }
            fetch.join(preparation, index);
            preparation.started(index, place.block().bytes());
        }
        if (place != null) {
            reserve(place, -1);
        }
        return true;
    }

    private void settle(CompanionEvent.MoveEnded ended, long nowMicros, Consumer<? super CompanionEffect> effects) {
        Move move = moves.end(ended, nowMicros);
        if (move == null) {
            return;
        }
        MoveOutcome outcome = ended.outcome();
        largestBytes = Math.max(largestBytes, ended.bytes());
        if (!move.fetch) {
            exports.ended(move, outcome, nowMicros, effects);
            return;
        }
        StoreLink store = move.store;
        switch (outcome) {
            case DONE -> {
                catalog.setHeld(move.block, true, nowMicros);
                store.health.answered();
                store.speed.add(ended.bytes(), nowMicros - move.startMicros);
            }
            case CORRUPT -> {
                // A slot that was reused while it was read, or damage: whatever is there now is not worth a try.
                catalog.clearStore(move.block, store.index);
                effects.accept(new CompanionEffect.DropBlock(store.address, move.block));
            }
            case GONE -> catalog.clearStore(move.block, store.index);
            case UNREACHABLE -> store.health.failed(nowMicros);
            default -> store.health.answered();
        }
        move.settle(outcome == MoveOutcome.DONE);
    }
}
