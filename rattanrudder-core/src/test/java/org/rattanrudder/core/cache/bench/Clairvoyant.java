package org.rattanrudder.core.cache.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.rattanrudder.core.model.Digest;

/**
 * A clairvoyant policy: it knows when each block is used next, and keeps the blocks with the earliest next use in
 * one pool of the size of both stores. Its links take no time, so it is an upper bound for any mover. With an empty
 * pool it is the naive policy, under which evicted blocks are lost.
 */
final class Clairvoyant {
    private final int capacity;
    private final boolean knowsTimes;
    private final Map<Digest, PooledBlock> pool = new HashMap<>();
    private final TreeSet<PooledBlock> byNextUse = new TreeSet<>();

    /**
     * Creates a policy with a pool of this size.
     *
     * @param capacity the number of blocks
     * @param knowsTimes whether it knows the time of each next use; otherwise it knows each context's mean gap and
     *     whether it is used again, which is the most that can be learnt about uses drawn at random
     */
    Clairvoyant(int capacity, boolean knowsTimes) {
        this.capacity = capacity;
        this.knowsTimes = knowsTimes;
    }

    Outcome run(Trace trace, Shape shape) {
        Outcome outcome = new Outcome();
        List<Engine> engines = new ArrayList<>();
        for (int target = 0; target < shape.targets(); target++) {
            engines.add(new Engine(shape.engineBlocks()));
        }
        for (Trace.Prompt prompt : trace.prompts) {
            Engine engine = engines.get(prompt.target());
            int cached = engine.cached(prompt.names());
            while (cached < prompt.names().size()
                    && (engine.holds(prompt.names().get(cached))
                            || pool.containsKey(prompt.names().get(cached)))) {
                outcome.fetchedBytes += engine.holds(prompt.names().get(cached)) ? 0 : Shape.PIECE_BYTES;
                cached++;
            }
            long missing = prompt.text().tokens() - (long) cached * Shape.PIECE_TOKENS;
            outcome.recordRun(prompt.names(), cached, missing * 1_000_000 / Shape.PREFILL_TOKENS);
            engine.store(prompt.names());
            for (int index = 0; index < prompt.names().size(); index++) {
                keep(new PooledBlock(rank(prompt, index), index, prompt.names().get(index)), outcome);
            }
        }
        return outcome;
    }

    private long rank(Trace.Prompt prompt, int index) {
        long nextUse = prompt.nextUseMicros()[index];
        return knowsTimes || nextUse == Long.MAX_VALUE ? nextUse : prompt.meanGapMicros();
    }

    private void keep(PooledBlock block, Outcome outcome) {
        PooledBlock previous = pool.remove(block.name());
        if (previous != null) {
            byNextUse.remove(previous);
        }
        boolean eligible = block.nextUse() < Long.MAX_VALUE
                && (pool.size() < capacity || capacity > 0 && block.compareTo(byNextUse.last()) < 0);
        if (!eligible) {
            return;
        }
        if (pool.size() >= capacity) {
            pool.remove(byNextUse.pollLast().name());
        }
        pool.put(block.name(), block);
        byNextUse.add(block);
        outcome.exportedBytes += previous == null ? Shape.PIECE_BYTES : 0;
    }

    /** A block with its next use; of two that are used at the same time the deeper is evicted first. */
    private record PooledBlock(long nextUse, int depth, Digest name) implements Comparable<PooledBlock> {
        @Override
        public int compareTo(PooledBlock other) {
            int order = Long.compare(nextUse, other.nextUse);
            order = order == 0 ? Integer.compare(depth, other.depth) : order;
            return order == 0 ? name.compareTo(other.name) : order;
        }
    }
}
