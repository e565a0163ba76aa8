package org.rattanrudder.core.cache;

import java.util.ArrayList;
import java.util.List;
import org.rattanrudder.core.model.Digest;

/** One move of a block that is in flight, and the prompts that wait for it. */
final class Move {
    final Digest block;
    final StoreLink store;
    final long bytes;
    final long startMicros;
    final boolean isFetch;
    private final List<Waiter> waiters = new ArrayList<>();
    private ExportCandidate candidate;

    Move(Digest block, StoreLink store, long bytes, long startMicros, boolean isFetch) {
        this.block = block;
        this.store = store;
        this.bytes = bytes;
        this.startMicros = startMicros;
        this.isFetch = isFetch;
    }

    void setCandidate(ExportCandidate newCandidate) {
        candidate = newCandidate;
    }

    ExportCandidate candidate() {
        return candidate;
    }

    void addWaiter(Preparation preparation, int index) {
        waiters.add(new Waiter(preparation, index));
    }

    /** Notifies the waiting prompts whether the block is in the engine's cache. */
    void complete(boolean loaded) {
        waiters.forEach(waiter -> waiter.preparation().onFetchEnded(waiter.index(), loaded));
    }

    private record Waiter(Preparation preparation, int index) {}
}
