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
 * Fetches evicted context back into the engines of a companion's targets, and exports the blocks worth retaining to
 * the stores.
 *
 * <p>Before a prompt is sent to its engine, {@link #prepare} looks up the blocks that the engine lacks, and decides
 * for each whether to fetch it, to wait for a fetch in flight, or to let the engine compute it. The prompt may be
 * sent once its {@link ContextReady} is returned, which happens within a bounded time whatever the state of stores
 * and links. After a run, {@link #onCompleted} decides which blocks to export. Hints are never trusted: a block is
 * fetched only as a store has just described it, and the daemon verifies it again.
 *
 * <pre>{@code
 * mover.updateTarget(document, target, now);
 * mover.prepare(prompt, now, effects).forEach(ready -> start(ready.attempt()));
 * mover.handle(event, now, effects).forEach(ready -> start(ready.attempt()));
 * mover.onCompleted(prompt, weightVersion, prefillTokensPerSecond, now, effects);
 * }</pre>
 */
public final class BlockMover {
    /** The maximum number of blocks for which hints are kept, for each target: up to 3 MB. */
    public static final int MAX_CATALOG_BLOCKS = 1 << 15;

    private final MoverPolicy policy;
    private final int catalogBlocks;
    private final RandomGenerator random;
    private final Map<TargetName, TargetMover> movers = new LinkedHashMap<>();
    private long lastNumber;

    /**
     * Creates a mover without targets.
     *
     * @param policy how blocks are valued and placed
     * @param catalogBlocks the maximum number of blocks for which hints are kept, for each target
     * @param random for jitter and sampling
     */
    public BlockMover(MoverPolicy policy, int catalogBlocks, RandomGenerator random) {
        this.policy = policy;
        this.catalogBlocks = catalogBlocks;
        this.random = random;
    }

    /** Adds a target, or updates its document and settings. */
    public void updateTarget(ServiceDocument document, TargetSettings target, long nowMicros) {
        movers.computeIfAbsent(
                        target.name(),
                        name -> new TargetMover(target, policy, catalogBlocks, this::nextNumber, random, nowMicros))
                .update(document, target, nowMicros);
    }

    /** Removes a target and its pending prompts. */
    public void removeTarget(TargetName target) {
        movers.remove(target);
    }

    /**
     * Starts to prepare the context of a prompt.
     *
     * @param prompt the prompt
     * @param nowMicros the time
     * @param effects receives lookups and moves
     * @return the prompts that may be sent now, including this one if it has nothing to wait for; otherwise {@link
     *     #handle} returns it later
     */
    public List<ContextReady> prepare(ContextPrompt prompt, long nowMicros, Consumer<? super CompanionEffect> effects) {
        TargetMover mover = movers.get(prompt.target());
        if (mover == null) {
            return List.of(new ContextReady(prompt.attempt(), 0, 0));
        }
        return mover.prepare(prompt, nowMicros, effects);
    }

    /**
     * Handles the complete answer to a prompt: the engine now holds its blocks.
     *
     * @param prompt the prompt
     * @param weightVersion the only weight version that the engine reported during the run; empty if it changed
     * @param prefillTokensPerSecond the measured prefill speed; 0 if unknown
     * @param nowMicros the time
     * @param effects receives exports
     */
    public void onCompleted(
            ContextPrompt prompt,
            String weightVersion,
            long prefillTokensPerSecond,
            long nowMicros,
            Consumer<? super CompanionEffect> effects) {
        TargetMover mover = movers.get(prompt.target());
        if (mover != null) {
            mover.onCompleted(prompt, weightVersion, prefillTokensPerSecond, nowMicros, effects);
        }
    }

    /** Removes a prompt that was cancelled or failed; it won't be returned as ready. */
    public void cancel(TargetName target, AttemptId attempt) {
        TargetMover mover = movers.get(target);
        if (mover != null) {
            mover.cancel(attempt);
        }
    }

    /**
     * Handles an event; events of other components are ignored.
     *
     * @param event what happened
     * @param nowMicros the time
     * @param effects receives lookups, moves and drops
     * @return the prompts that may be sent to their engines now
     */
    public List<ContextReady> handle(CompanionEvent event, long nowMicros, Consumer<? super CompanionEffect> effects) {
        if (event instanceof CompanionEvent.CacheEventsReported reported) {
            TargetMover mover = movers.get(reported.target());
            if (mover != null) {
                mover.onCacheEvents(reported, nowMicros);
            }
            return List.of();
        }
        List<ContextReady> ready = new ArrayList<>();
        for (TargetMover mover : movers.values()) {
            if (event instanceof CompanionEvent.BlockLookupEnded found) {
                ready.addAll(mover.onLookupEnded(found, nowMicros, effects));
            } else if (event instanceof CompanionEvent.MoveEnded moved) {
                ready.addAll(mover.onMoveEnded(moved, nowMicros, effects));
            } else if (event instanceof CompanionEvent.Tick) {
                ready.addAll(mover.onTick(nowMicros, effects));
            }
        }
        return ready;
    }

    /** Returns the measured speed of fetching context to a target in bytes per second; 0 if unknown. */
    public long fetchBytesPerSecond(TargetName target) {
        TargetMover mover = movers.get(target);
        return mover == null ? 0 : mover.fetchBytesPerSecond();
    }

    /** Returns whether no prompt is pending and no move is queued or in flight. */
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
