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

/** Decides which blocks of an engine's cache go to a store, and what is given up for them there. */
final class Exports {
    /** The most blocks that wait for the links; an engine frees its oldest soon, so waiting longer is of no use. */
    static final int LONGEST_QUEUE = 2048;
    /** The most exports under way, so that a fetch that comes finds the links nearly free. */
    static final int MOST_UNDER_WAY = 2;

    private final BlockCatalog catalog;
    private final Moves moves;
    private final MoverPolicy policy;
    private final Deque<ExportCandidate> returning = new ArrayDeque<>();
    private final Deque<ExportCandidate> fresh = new ArrayDeque<>();
    private final Set<Digest> waiting = new HashSet<>();

    Exports(BlockCatalog catalog, Moves moves, MoverPolicy policy) {
        this.catalog = catalog;
        this.moves = moves;
        this.policy = policy;
    }

    /** Takes note of blocks that a run has left in the engine; those that have returned before go first. */
    void offer(List<Digest> names, String weightVersion) {
        for (int index = 0; index < names.size(); index++) {
            Digest block = names.get(index);
            boolean returned = catalog.sights(block) > 1;
            boolean wanted = returned || policy.exportAtFirstSight();
            if (!wanted || catalog.store(block) >= 0 || waiting.size() >= LONGEST_QUEUE || !waiting.add(block)) {
                continue;
            }
            Digest anchor = StorePlacement.anchor(names, index, policy.segmentBlocks());
            (returned ? returning : fresh).add(new ExportCandidate(block, anchor, weightVersion, 0));
        }
    }

    /** Starts what the links have room for. */
    void start(
            List<StoreLink> stores,
            Address target,
            long bytes,
            long nowMicros,
            Consumer<? super CompanionEffect> effects) {
        while (moves.exportsUnderWay() < MOST_UNDER_WAY && !isEmpty()) {
            Deque<ExportCandidate> queue = returning.isEmpty() ? fresh : returning;
            ExportCandidate candidate = queue.getFirst();
            boolean useless = !catalog.isHeld(candidate.block())
                    || catalog.store(candidate.block()) >= 0
                    || !catalog.hasRoomForStored()
                    || candidate.tries() >= 2 * StorePlacement.CHOICES;
            if (!useless) {
                StoreLink store = choose(stores, candidate, nowMicros);
                if (store == null || !moves.export(candidate, store, target, bytes, nowMicros, effects)) {
                    return;
                }
                store.health.asked();
            }
            queue.removeFirst();
            waiting.remove(candidate.block());
        }
    }

    /** Takes the end of an export. */
    void ended(Move move, MoveOutcome outcome, long nowMicros, Consumer<? super CompanionEffect> effects) {
        ExportCandidate candidate = move.candidate();
        switch (outcome) {
            case DONE -> {
                move.store.health.answered();
                catalog.setStore(move.block, move.store.index, nowMicros);
            }
            case FULL -> {
                move.store.health.answered();
                makeRoom(candidate, move.store, nowMicros, effects);
            }
            case UNREACHABLE -> move.store.health.failed(nowMicros);
            case GONE -> catalog.setHeld(move.block, false, nowMicros);
            default -> move.store.health.answered();
        }
    }

    boolean isEmpty() {
        return returning.isEmpty() && fresh.isEmpty();
    }

    /**
     * Gives up the least valuable block known in a full store, if it is worth less than the new one, and tries again;
     * else tries the other store. The first try at a store has an even number, the one after making room an odd one.
     */
    private void makeRoom(
            ExportCandidate candidate, StoreLink store, long nowMicros, Consumer<? super CompanionEffect> effects) {
        boolean firstTry = candidate.tries() % 2 == 0;
        Digest victim = firstTry ? catalog.leastValuable(store.index, nowMicros) : null;
        boolean better = victim != null
                && (!policy.replacementPenalty()
                        || catalog.value(candidate.block(), nowMicros) > catalog.value(victim, nowMicros));
        if (better) {
            catalog.clearStore(victim, store.index);
            effects.accept(new CompanionEffect.DropBlock(store.address, victim));
        }
        ExportCandidate again = firstTry && !better ? candidate.again().again() : candidate.again();
        if (waiting.add(again.block())) {
            returning.addFirst(again);
        }
    }

    private static StoreLink choose(List<StoreLink> stores, ExportCandidate candidate, long nowMicros) {
        List<StoreLink> choices = StorePlacement.choices(stores, candidate.anchor());
        for (int choice = candidate.tries() / 2; choice < choices.size(); choice++) {
            if (choices.get(choice).health.isUsable(nowMicros)) {
                return choices.get(choice);
            }
        }
        return null;
    }
}
