package org.rattanrudder.core.cache;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.rattanrudder.core.companion.CompanionEffect;
import org.rattanrudder.core.companion.CompanionEvent;
import org.rattanrudder.core.document.ServiceDocument;
import org.rattanrudder.core.document.TargetSettings;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.TargetName;

/**
 * Brings context that returns after a gap back to a companion's engines, and keeps what is worth keeping in the stores.
 *
 * <p>Before a prompt goes to its engine, {@link #prepare} looks up the blocks that the engine lacks, and decides for
 * each whether to fetch it, to wait for a fetch that runs, or to let the engine compute it. The prompt may go when its
 * {@link ContextReady} is there, which comes within a bound whatever stores and links do. After a run, {@link
 * #onCompleted}
 * decides what to export. Nothing that it believes is trusted: a block is fetched only as a store described it a moment
 * ago, and the daemon checks it again.
 *
 * <pre>{@code
 * mover.serve(document, target, now);
 * mover.prepare(prompt, now, effects).forEach(ready -> start(ready.attempt()));
 * mover.handle(event, now, effects).forEach(ready -> start(ready.attempt()));
 * mover.ended(prompt, weightVersion, prefillTokensPerSecond, now, effects);
 * }</pre>
 */
public final class BlockMover {
    /** How many blocks hints are kept of, for each target: at most 3 MB. */
    public static final int MAX_CATALOG_BLOCKS = 1 << 15;

    private final MoverPolicy policy;
    private final int catalogBlocks;
    private final RandomGenerator random;
    private final Map<TargetName, TargetMover> movers = new LinkedHashMap<>();
    private long lastNumber;

    /**
     * Makes a mover without targets.
     *
     * @param policy how blocks are valued and placed
     * @param catalogBlocks how many blocks to keep hints of, for each target
     * @param random for jitter and samples
     */
    public BlockMover(MoverPolicy policy, int catalogBlocks, RandomGenerator random) {
        this.policy = policy;
        this.catalogBlocks = catalogBlocks;
        this.random = random;
    }

    /** Takes up a target or a new document for it. */
    public void updateTarget(ServiceDocument document, TargetSettings target, long nowMicros) {
        movers.computeIfAbsent(
                        target.name(),
                        name -> new TargetMover(target, policy, catalogBlocks, this::nextNumber, random, nowMicros))
                .serve(document, target, nowMicros);
    }

    /** Forgets a target; its prompts are abandoned. */
    public void removeTarget(TargetName target) {
        movers.remove(target);
    }

    /**
     * Begins to bring a prompt's context.
     *
     * @param prompt the prompt
     * @param nowMicros the time
     * @param effects takes lookups and moves
     * @return the prompts that may go now, itself too if there is nothing to wait for; else {@link #handle} says so
     */
    public List<ContextReady> prepare(ContextPrompt prompt, long nowMicros, Consumer<? super CompanionEffect> effects) {
        TargetMover mover = movers.get(prompt.target());
        if (mover == null) {
            return List.of(new ContextReady(prompt.attempt(), 0, 0));
        }
        return mover.prepare(prompt, nowMicros, effects);
    }

    /**
     * Takes the whole answer to a prompt: the engine now holds its blocks.
     *
     * @param prompt the prompt
     * @param weightVersion the one version that the engine named throughout the run; empty if it changed
     * @param prefillTokensPerSecond measured speed of computing context; 0 if not yet known
     * @param nowMicros the time
     * @param effects takes exports
     */
    public void onCompleted(
            ContextPrompt prompt,
            String weightVersion,
            long prefillTokensPerSecond,
            long nowMicros,
            Consumer<? super CompanionEffect> effects) {
        TargetMover mover = movers.get(prompt.target());
        if (mover != null) {
            mover.ended(prompt, weightVersion, prefillTokensPerSecond, nowMicros, effects);
        }
    }

    /** Forgets a prompt that was cancelled or failed; none of its events follow. */
    public void cancel(TargetName target, AttemptId attempt) {
        TargetMover mover = movers.get(target);
        if (mover != null) {
            mover.abandon(attempt);
        }
    }

    /**
     * Takes an event; those that don't concern it are ignored.
     *
     * @param event what happened
     * @param nowMicros the time
     * @param effects takes lookups, moves and drops
     * @return the prompts that may go to their engines now
     */
    public List<ContextReady> handle(CompanionEvent event, long nowMicros, Consumer<? super CompanionEffect> effects) {
        if (event instanceof CompanionEvent.CacheEventsReported reported) {
            TargetMover mover = movers.get(reported.target());
            if (mover != null) {
                mover.cacheEvents(reported, nowMicros);
            }
            return List.of();
        }
        List<ContextReady> ready = new ArrayList<>();
        for (TargetMover mover : movers.values()) {
            if (event instanceof CompanionEvent.BlockLookupEnded found) {
                ready.addAll(mover.found(found, nowMicros, effects));
            } else if (event instanceof CompanionEvent.MoveEnded moved) {
                ready.addAll(mover.moveEnded(moved, nowMicros, effects));
            } else if (event instanceof CompanionEvent.Tick) {
                ready.addAll(mover.tick(nowMicros, effects));
            }
        }
        return ready;
    }

    /** Returns the measured speed of fetching context to a target in bytes a second; 0 if not yet known. */
    public long fetchBytesPerSecond(TargetName target) {
        TargetMover mover = movers.get(target);
        return mover == null ? 0 : mover.fetchBytesPerSecond();
    }

    /** Returns whether no prompt waits and no move runs or waits. */
    public boolean isIdle() {
        return movers.values().stream().allMatch(TargetMover::isIdle);
    }

    /** Returns the size of all hints in bytes. */
    public long stateBytes() {
        return movers.values().stream().mapToLong(TargetMover::stateBytes).sum();
    }

    private long nextNumber() {
        return ++lastNumber;
    }
}
