package org.rattanrudder.core.cache;

import java.util.BitSet;
import java.util.List;
import java.util.Objects;
import org.rattanrudder.core.model.Digest;

/**
 * The preparation of a prompt's context: its blocks are first looked up, then fetched from {@link #firstMissing} up
 * to an end.
 */
final class Preparation {
    final ContextPrompt prompt;
    final List<Digest> names;
    final int firstMissing;
    private final BlockLocation[] foundLocations;
    private final BitSet loaded = new BitSet();
    private int pendingLookups;
    private long waitUntilMicros;
    private List<BlockLocation> plannedLocations = List.of();
    private boolean planned;
    private int next;
    private int end;
    private long fetchedBytes;

    Preparation(ContextPrompt prompt, List<Digest> names, int firstMissing, long waitUntilMicros) {
        this.prompt = prompt;
        this.names = names;
        this.firstMissing = firstMissing;
        this.next = firstMissing;
        this.end = firstMissing;
        this.waitUntilMicros = waitUntilMicros;
        this.foundLocations = new BlockLocation[names.size()];
    }

    void onLookupSent() {
        pendingLookups++;
    }

    void onLookupEnded() {
        pendingLookups--;
    }

    /**
     * Adds a location where a block was found, unless one whose link has as much room is known; ignores blocks that
     * weren't requested.
     */
    void addLocation(BlockLocation location, long nowMicros) {
        int index = names.indexOf(location.block().block());
        if (index < firstMissing || location.block().bytes() <= 0) {
            return;
        }
        BlockLocation known = foundLocations[index];
        if (known == null
                || known.store().budget.freeBytes(nowMicros)
                        < location.store().budget.freeBytes(nowMicros)) {
            foundLocations[index] = location;
        }
    }

    BlockLocation foundLocations(int index) {
        return foundLocations[index];
    }

    /** Returns until when the prompt waits for its lookups or, once planned, for its fetches. */
    long waitUntilMicros() {
        return waitUntilMicros;
    }

    /** Returns whether the fetches can be planned. */
    boolean isLookedUp(long nowMicros) {
        return pendingLookups == 0 || nowMicros >= waitUntilMicros || foundAll();
    }

    boolean isPlanned() {
        return planned;
    }

    /**
     * Plans to fetch these blocks, starting with the first missing one, and to wait for them until a time.
     *
     * @param locations where each block is; null if its fetch is in flight
     * @param untilMicros when the prompt is sent to its engine, whatever has been fetched
     */
    void plan(List<BlockLocation> locations, long untilMicros) {
        planned = true;
        plannedLocations = locations;
        next = firstMissing;
        end = firstMissing + locations.size();
        waitUntilMicros = untilMicros;
    }

    /** Returns the index of the next block to fetch, or -1 if there is none. */
    int nextIndex() {
        return next < end ? next : -1;
    }

    /** Returns from where the block is fetched; null if its fetch was already in flight. */
    BlockLocation plannedLocation(int index) {
        return plannedLocations.get(index - firstMissing);
    }

    /**
     * Returns the planned locations for which no fetch has been started or joined, including those after a failed one.
     */
    List<BlockLocation> unstarted() {
        return plannedLocations.stream()
                .skip((long) next - firstMissing)
                .filter(Objects::nonNull)
                .toList();
    }

    void onStarted(int index, long bytes) {
        next = index + 1;
        fetchedBytes += bytes;
    }

    /** Returns how many fetches are in flight. */
    int fetchesInFlight() {
        return next - firstMissing - loaded.cardinality();
    }

    /** Handles the end of a fetch. If it failed, the blocks after it can't be used. */
    void onFetchEnded(int index, boolean isLoaded) {
        if (isLoaded) {
            loaded.set(index);
        } else {
            end = Math.min(end, index);
        }
    }

    boolean isReady(long nowMicros) {
        return planned && (nowMicros >= waitUntilMicros || loaded.nextClearBit(firstMissing) >= end);
    }

    ContextReady ready(int pieceTokens) {
        int blocks = Math.min(end, loaded.nextClearBit(firstMissing)) - firstMissing;
        return new ContextReady(prompt.attempt(), Math.max(0, blocks) * pieceTokens, fetchedBytes);
    }

    private boolean foundAll() {
        for (int index = firstMissing; index < foundLocations.length; index++) {
            if (foundLocations[index] == null) {
                return false;
            }
        }
        return true;
    }
}
