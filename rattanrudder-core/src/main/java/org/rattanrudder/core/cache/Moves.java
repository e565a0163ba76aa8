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

/**
 * The moves of one target that are in flight: within the budgets of both links, and with at most one fetch of each
 * block at a time.
 */
final class Moves {
    private final LongSupplier numbers;
    private final LinkBudget targetBudget;
    private final Map<Long, Move> inFlight = new LinkedHashMap<>();
    private final Map<Digest, Move> fetches = new HashMap<>();
    private int exports;

    Moves(LongSupplier numbers, LinkBudget targetBudget) {
        this.numbers = numbers;
        this.targetBudget = targetBudget;
    }

    /** Returns the fetch of this block that is in flight, or null. */
    Move fetchInFlight(Digest block) {
        return fetches.get(block);
    }

    int exportsInFlight() {
        return exports;
    }

    /**
     * Starts a fetch; returns null if a link has no room now. The caller ensures that no fetch of the block is in
     * flight.
     */
    Move startFetch(
            BlockLocation location,
            Address target,
            Digest parent,
            String weightVersion,
            long nowMicros,
            Consumer<? super CompanionEffect> effects) {
        StoreLink store = location.store();
        long bytes = location.block().bytes();
        if (bytes > store.budget.freeBytes(nowMicros) || !targetBudget.tryAcquire(bytes, nowMicros)) {
            return null;
        }
        store.budget.tryAcquire(bytes, nowMicros);
        Move move = new Move(location.block().block(), store, bytes, nowMicros, true);
        long number = numbers.getAsLong();
        inFlight.put(number, move);
        fetches.put(move.block, move);
        effects.accept(
                new CompanionEffect.FetchBlock(number, store.address, location.block(), target, parent, weightVersion));
        return move;
    }

    /** Starts an export unless it would delay a fetch; returns whether it started. */
    boolean startExport(
            ExportCandidate candidate,
            StoreLink store,
            Address target,
            long bytes,
            long nowMicros,
            Consumer<? super CompanionEffect> effects) {
        if (!store.budget.allowsBackground(bytes, nowMicros) || !targetBudget.allowsBackground(bytes, nowMicros)) {
            return false;
        }
        store.budget.tryAcquire(bytes, nowMicros);
        targetBudget.tryAcquire(bytes, nowMicros);
        long number = numbers.getAsLong();
        Move move = new Move(candidate.block(), store, bytes, nowMicros, false);
        move.setCandidate(candidate);
        inFlight.put(number, move);
        exports++;
        effects.accept(new CompanionEffect.ExportBlock(
                number, target, candidate.block(), candidate.weightVersion(), store.address));
        return true;
    }

    /**
     * Ends a move; returns null if it isn't in flight, for instance because it was overdue.
     *
     * <p>The bytes of a move that failed, or that a full store refused after the engine had sent them, may have been
     * transferred over one link and not the other. They count in full on both: otherwise repeatedly refused exports
     * would flood the engine's link within a budget that seems free.
     */
    Move end(CompanionEvent.MoveEnded ended, long nowMicros) {
        Move move = inFlight.remove(ended.move());
        if (move == null) {
            return null;
        }
        long moved = move.isFetch && ended.outcome() != MoveOutcome.UNREACHABLE
                ? ended.bytes()
                : Math.max(move.bytes, ended.bytes());
        targetBudget.release(move.bytes, moved, nowMicros);
        move.store.budget.release(move.bytes, moved, nowMicros);
        if (move.isFetch) {
            fetches.remove(move.block);
        } else {
            exports--;
        }
        return move;
    }

    /** Returns the moves whose end must have been lost: the daemon ends every move earlier. */
    List<Long> overdue(long nowMicros) {
        List<Long> overdue = new ArrayList<>();
        for (Map.Entry<Long, Move> entry : inFlight.entrySet()) {
            if (nowMicros - entry.getValue().startMicros < CompanionEffect.MOVE_TIMEOUT_MICROS) {
                break;
            }
            overdue.add(entry.getKey());
        }
        return overdue;
    }

    long bytes(long number) {
        return inFlight.get(number).bytes;
    }

    boolean isIdle() {
        return inFlight.isEmpty();
    }
}
