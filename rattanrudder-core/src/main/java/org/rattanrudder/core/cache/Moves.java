package org.rattanrudder.core.cache;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.rattanrudder.core.companion.CompanionEffect;
import org.rattanrudder.core.companion.CompanionEvent;
import org.rattanrudder.core.companion.CompanionEvent.MoveOutcome;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.Digest;

/** The moves of one target under way: within both links' budgets, and at most one fetch of a block at a time. */
final class Moves {
    private final LongSupplier numbers;
    private final LinkBudget targetBudget;
    private final Map<Long, Move> underWay = new LinkedHashMap<>();
    private final Map<Digest, Move> fetches = new HashMap<>();
    private int exports;

    Moves(LongSupplier numbers, LinkBudget targetBudget) {
        this.numbers = numbers;
        this.targetBudget = targetBudget;
    }

    /** Returns the fetch of this block that is under way, or null. */
    Move fetching(Digest block) {
        return fetches.get(block);
    }

    int exportsUnderWay() {
        return exports;
    }

    /** Starts a fetch; returns null if a link has no room now. The caller makes sure that none of the block runs. */
    Move fetch(
            StoredAt place,
            Address target,
            Digest parent,
            String weightVersion,
            long nowMicros,
            Consumer<? super CompanionEffect> effects) {
        StoreLink store = place.store();
        long bytes = place.block().bytes();
        if (bytes > store.budget.free(nowMicros) || !targetBudget.take(bytes, nowMicros)) {
            return null;
        }
        store.budget.take(bytes, nowMicros);
        Move move = new Move(place.block().block(), store, bytes, nowMicros, true);
        long number = numbers.getAsLong();
        underWay.put(number, move);
        fetches.put(move.block, move);
        effects.accept(
                new CompanionEffect.FetchBlock(number, store.address, place.block(), target, parent, weightVersion));
        return move;
    }

    /** Starts an export unless it would hold up a fetch; returns whether it started. */
    boolean export(
            ExportCandidate candidate,
            StoreLink store,
            Address target,
            long bytes,
            long nowMicros,
            Consumer<? super CompanionEffect> effects) {
        if (!store.budget.allowsBackground(bytes, nowMicros) || !targetBudget.allowsBackground(bytes, nowMicros)) {
            return false;
        }
        store.budget.take(bytes, nowMicros);
        targetBudget.take(bytes, nowMicros);
        long number = numbers.getAsLong();
        Move move = new Move(candidate.block(), store, bytes, nowMicros, false);
        move.export(candidate);
        underWay.put(number, move);
        exports++;
        effects.accept(new CompanionEffect.ExportBlock(
                number, target, candidate.block(), candidate.weightVersion(), store.address));
        return true;
    }

    /**
     * Ends a move; returns null if it isn't under way, such as one that was given up.
     *
     * <p>The bytes of a move that broke off, or that a full store refused after the engine had sent them, may have
     * passed over one link and not the other. They count in full on both: otherwise a row of refused exports would
     * flood the engine's link within a budget that seems free.
     */
    Move end(CompanionEvent.MoveEnded ended, long nowMicros) {
        Move move = underWay.remove(ended.move());
        if (move == null) {
            return null;
        }
        long moved = move.fetch && ended.outcome() != MoveOutcome.UNREACHABLE
                ? ended.bytes()
                : Math.max(move.bytes, ended.bytes());
        targetBudget.release(move.bytes, moved, nowMicros);
        move.store.budget.release(move.bytes, moved, nowMicros);
        if (move.fetch) {
            fetches.remove(move.block);
        } else {
            exports--;
        }
        return move;
    }

    /** Returns the moves whose end must have been lost: the daemon breaks off a move before. */
    List<Long> overdue(long nowMicros) {
        List<Long> overdue = new ArrayList<>();
        for (Map.Entry<Long, Move> entry : underWay.entrySet()) {
            if (nowMicros - entry.getValue().startMicros < CompanionEffect.MOVE_TIMEOUT_MICROS) {
                break;
            }
            overdue.add(entry.getKey());
        }
        return overdue;
    }

    long bytes(long number) {
        return underWay.get(number).bytes;
    }

    boolean isIdle() {
        return underWay.isEmpty();
    }
}
