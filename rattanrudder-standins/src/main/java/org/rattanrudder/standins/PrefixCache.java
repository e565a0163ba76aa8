package org.rattanrudder.standins;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.rattanrudder.core.model.Digest;

/** An engine's prefix cache: a limited number of blocks, of which the one least lately used goes first. */
final class PrefixCache {
    private final int capacity;
    private final CacheEventLog events;
    private final Map<Digest, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
    private final Map<Digest, Integer> pins = new HashMap<>();

    PrefixCache(int capacity, CacheEventLog events) {
        this.capacity = capacity;
        this.events = events;
    }

    int size() {
        return blocks.size();
    }

    /** Returns the longest run of blocks from the first that are held. */
    List<Digest> held(List<Digest> names) {
        List<Digest> held = new ArrayList<>();
        for (Digest name : names) {
            if (!blocks.containsKey(name)) {
                break;
            }
            held.add(name);
        }
        return held;
    }

    boolean holds(Digest name) {
        return blocks.containsKey(name);
    }

    /** Returns whether any of the blocks was imported with another content than the engine's own. */
    boolean anyCorrupt(List<Digest> names) {
        return names.stream().anyMatch(name -> Boolean.TRUE.equals(blocks.get(name)));
    }

    /** Keeps the blocks from being evicted. */
    void pin(List<Digest> names) {
        names.forEach(name -> pins.merge(name, 1, Integer::sum));
    }

    /** Lets the blocks go, as the last used: the first block of a prefix stays the longest. */
    void unpin(List<Digest> names) {
        for (int index = names.size() - 1; index >= 0; index--) {
            Digest name = names.get(index);
            pins.computeIfPresent(name, (block, count) -> count == 1 ? null : count - 1);
            blocks.get(name);
        }
    }

    /** Stores a block, evicting others; returns false if all the room is pinned. */
    boolean store(Digest name, boolean corrupt) {
        if (blocks.containsKey(name)) {
            return true;
        }
        while (blocks.size() >= capacity) {
            if (!evictOne()) {
                return false;
            }
        }
        blocks.put(name, corrupt);
        events.add(name, true);
        return true;
    }

    private boolean evictOne() {
        Iterator<Digest> oldestFirst = blocks.keySet().iterator();
        while (oldestFirst.hasNext()) {
            Digest name = oldestFirst.next();
            if (!pins.containsKey(name)) {
                oldestFirst.remove();
                events.add(name, false);
                return true;
            }
        }
        return false;
    }

    /** Frees everything, as a swap of weights does. */
    void clear() {
        blocks.keySet().forEach(name -> events.add(name, false));
        blocks.clear();
        pins.clear();
    }
}
