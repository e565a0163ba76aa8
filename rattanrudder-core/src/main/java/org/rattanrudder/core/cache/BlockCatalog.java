package org.rattanrudder.core.cache;

import java.util.random.RandomGenerator;
import org.rattanrudder.core.model.Digest;

/**
 * The hints that are kept on the blocks of one target's prompts: whether the engine holds a block, which store does,
 * and how often it is reused. A wrong hint costs time but never causes a wrong answer.
 *
 * <p>An open-addressing hash table over primitive arrays, {@value #BYTES_PER_SLOT} bytes a slot, that grows up to a
 * maximum size. At the maximum, the least valuable of a few neighbouring slots is evicted. A block that a store is
 * assumed to hold isn't evicted, since then no process would ever free it in the store.
 */
final class BlockCatalog {
    static final int BYTES_PER_SLOT = 4 * Long.BYTES + Integer.BYTES + Float.BYTES + Short.BYTES + 3;
    /** Uses closer together than this count as one: the engine's own cache serves the later ones. */
    static final int SAME_USE_SECONDS = 60;
    /** How many slots are compared to choose one to evict. */
    static final int SAMPLE_SIZE = 32;

    private static final int MIN_SLOTS = 64;
    private static final int WORDS_PER_DIGEST = 4;
    private static final byte OCCUPIED = 1;
    private static final byte HELD = 2;
    private static final double NEWEST_GAP_WEIGHT = 0.3;

    private final RetentionScore retentionScore;
    private final RandomGenerator random;
    private final int maxSlots;
    private long[] words;
    private int[] lastUseSeconds;
    private float[] gapSeconds;
    private short[] uses;
    private byte[] flags;
    private byte[] stores;
    private byte[] depths;
    private int size;
    private int storedCount;

    BlockCatalog(int maxBlocks, RetentionScore retentionScore, RandomGenerator random) {
        this.retentionScore = retentionScore;
        this.random = random;
        this.maxSlots = Math.max(MIN_SLOTS, Integer.highestOneBit(Math.max(1, maxBlocks)) * 2);
        allocate(MIN_SLOTS);
    }

    /** Records that a prompt uses the block. */
    void recordUse(Digest block, int depth, long nowMicros) {
        int slot = findOrAdd(block, nowMicros);
        if (slot < 0) {
            return;
        }
        int now = seconds(nowMicros);
        int gap = now - lastUseSeconds[slot];
        depths[slot] = (byte) Math.min(depth, Byte.MAX_VALUE);
        lastUseSeconds[slot] = now;
        if (uses[slot] == 0) {
            uses[slot] = 1;
        } else if (gap >= SAME_USE_SECONDS) {
            gapSeconds[slot] = uses[slot] == 1 ? gap : (float) smooth(gapSeconds[slot], gap);
            uses[slot] = (short) Math.min(uses[slot] + 1, Short.MAX_VALUE);
        }
    }

    /** Returns how often the block was used, without repetitions within {@link #SAME_USE_SECONDS}. */
    int uses(Digest block) {
        int slot = find(block);
        return slot < 0 ? 0 : uses[slot];
    }

    /** Returns the retention score of the block. */
    double value(Digest block, long nowMicros) {
        int slot = find(block);
        return slot < 0 ? 0 : valueAt(slot, nowMicros);
    }

    /** Returns whether a block was last used later than another. */
    boolean isUsedAfter(Digest block, Digest other) {
        int slot = find(block);
        int otherSlot = find(other);
        return slot >= 0 && otherSlot >= 0 && lastUseSeconds[slot] > lastUseSeconds[otherSlot];
    }

    boolean isHeld(Digest block) {
        int slot = find(block);
        return slot >= 0 && (flags[slot] & HELD) != 0;
    }

    void setHeld(Digest block, boolean held, long nowMicros) {
        int slot = held ? findOrAdd(block, nowMicros) : find(block);
        if (slot >= 0) {
            flags[slot] = (byte) (held ? flags[slot] | HELD : flags[slot] & ~HELD);
        }
    }

    /** Clears all hints that the engine holds a block. */
    void clearAllHeld() {
        for (int slot = 0; slot < flags.length; slot++) {
            flags[slot] &= ~HELD;
        }
    }

    /** Returns the index of the store that is assumed to hold the block, or -1. */
    int store(Digest block) {
        int slot = find(block);
        return slot < 0 ? -1 : stores[slot] - 1;
    }

    void setStore(Digest block, int store, long nowMicros) {
        int slot = findOrAdd(block, nowMicros);
        if (slot >= 0) {
            storedCount += stores[slot] == 0 ? 1 : 0;
            stores[slot] = (byte) (store + 1);
        }
    }

    void clearStore(Digest block, int store) {
        int slot = find(block);
        if (slot >= 0 && stores[slot] == store + 1) {
            stores[slot] = 0;
            storedCount--;
        }
    }

    /** Clears all hints that the store holds a block; those of all stores for -1. */
    void clearAllStored(int store) {
        for (int slot = 0; slot < stores.length; slot++) {
            if (stores[slot] != 0 && (store < 0 || stores[slot] == store + 1)) {
                stores[slot] = 0;
                storedCount--;
            }
        }
    }

    /** Returns whether one more stored block can be kept with enough slots left for new blocks. */
    boolean hasRoomForStored() {
        return storedCount < maxSlots / 2;
    }

    /**
     * Returns the least valuable of a sample of the blocks that the store is assumed to hold, or null if there is
     * none.
     */
    Digest leastValuable(int store, long nowMicros) {
        int start = random.nextInt(flags.length);
        int worst = -1;
        int compared = 0;
        for (int step = 0; step < flags.length && compared < SAMPLE_SIZE; step++) {
            int slot = (start + step) & (flags.length - 1);
            if (stores[slot] == store + 1) {
                worst = worst < 0 || isLessValuable(slot, worst, nowMicros) ? slot : worst;
                compared++;
            }
        }
        return worst < 0 ? null : digestAt(worst);
    }

    int size() {
        return size;
    }

    long bytes() {
        return (long) flags.length * BYTES_PER_SLOT;
    }

    /**
     * Compares by score, then by depth: a block can't be used without the blocks before it, so of two with the same
     * score the deeper one is evicted first.
     */
    private boolean isLessValuable(int slot, int other, long nowMicros) {
        double value = valueAt(slot, nowMicros);
        double otherValue = valueAt(other, nowMicros);
        return value == otherValue ? depths[slot] > depths[other] : value < otherValue;
    }

    private double valueAt(int slot, long nowMicros) {
        if (uses[slot] == 0) {
            return 0;
        }
        return retentionScore.of(uses[slot], gapSeconds[slot], seconds(nowMicros) - lastUseSeconds[slot]);
    }

    private int findOrAdd(Digest block, long nowMicros) {
        int slot = find(block);
        if (slot >= 0) {
            return slot;
        }
        if (4 * (size + 1) > 3 * flags.length && !makeRoom(nowMicros)) {
            return -1;
        }
        slot = freeSlot(block);
        put(slot, block);
        lastUseSeconds[slot] = seconds(nowMicros);
        size++;
        return slot;
    }

    private boolean makeRoom(long nowMicros) {
        if (flags.length < maxSlots) {
            grow();
            return true;
        }
        int worst = -1;
        int start = random.nextInt(flags.length);
        int compared = 0;
        for (int step = 0; step < flags.length && compared < SAMPLE_SIZE; step++) {
            int slot = (start + step) & (flags.length - 1);
            if (flags[slot] != 0 && stores[slot] == 0) {
                worst = worst < 0 || isLessValuable(slot, worst, nowMicros) ? slot : worst;
                compared++;
            }
        }
        if (worst >= 0) {
            remove(worst);
        }
        return worst >= 0;
    }

    private int find(Digest block) {
        int slot = homeSlot(block.first());
        while (flags[slot] != 0) {
            if (isAt(slot, block)) {
                return slot;
            }
            slot = (slot + 1) & (flags.length - 1);
        }
        return -1;
    }

    private int freeSlot(Digest block) {
        int slot = homeSlot(block.first());
        while (flags[slot] != 0) {
            slot = (slot + 1) & (flags.length - 1);
        }
        return slot;
    }

    /** Empties a slot and moves back the following blocks that a probe could no longer reach across the gap. */
    private void remove(int removed) {
        int hole = removed;
        int slot = hole;
        size--;
        while (true) {
            flags[hole] = 0;
            stores[hole] = 0;
            uses[hole] = 0;
            gapSeconds[hole] = 0;
            do {
                slot = (slot + 1) & (flags.length - 1);
                if (flags[slot] == 0) {
                    return;
                }
            } while (isBetween(hole, homeSlot(words[WORDS_PER_DIGEST * slot]), slot));
            copy(slot, hole);
            hole = slot;
        }
    }

    /** Returns whether the home slot lies after the hole and not after the slot, with wrap-around. */
    private static boolean isBetween(int hole, int home, int slot) {
        return hole <= slot ? hole < home && home <= slot : hole < home || home <= slot;
    }

    private void copy(int from, int to) {
        System.arraycopy(words, WORDS_PER_DIGEST * from, words, WORDS_PER_DIGEST * to, WORDS_PER_DIGEST);
        lastUseSeconds[to] = lastUseSeconds[from];
        gapSeconds[to] = gapSeconds[from];
        uses[to] = uses[from];
        flags[to] = flags[from];
        stores[to] = stores[from];
        depths[to] = depths[from];
    }

    private void grow() {
        long[] oldWords = words;
        int[] oldLastUse = lastUseSeconds;
        float[] oldGaps = gapSeconds;
        short[] oldUses = uses;
        byte[] oldFlags = flags;
        byte[] oldStores = stores;
        byte[] oldDepths = depths;
        allocate(2 * oldFlags.length);
        for (int old = 0; old < oldFlags.length; old++) {
            if (oldFlags[old] == 0) {
                continue;
            }
            Digest block = digestAt(oldWords, old);
            int slot = freeSlot(block);
            put(slot, block);
            lastUseSeconds[slot] = oldLastUse[old];
            gapSeconds[slot] = oldGaps[old];
            uses[slot] = oldUses[old];
            flags[slot] = oldFlags[old];
            stores[slot] = oldStores[old];
            depths[slot] = oldDepths[old];
        }
    }

    private void allocate(int slots) {
        words = new long[WORDS_PER_DIGEST * slots];
        lastUseSeconds = new int[slots];
        gapSeconds = new float[slots];
        uses = new short[slots];
        flags = new byte[slots];
        stores = new byte[slots];
        depths = new byte[slots];
    }

    private void put(int slot, Digest block) {
        words[WORDS_PER_DIGEST * slot] = block.first();
        words[WORDS_PER_DIGEST * slot + 1] = block.second();
        words[WORDS_PER_DIGEST * slot + 2] = block.third();
        words[WORDS_PER_DIGEST * slot + 3] = block.fourth();
        flags[slot] = OCCUPIED;
    }

    private boolean isAt(int slot, Digest block) {
        return words[WORDS_PER_DIGEST * slot] == block.first()
                && words[WORDS_PER_DIGEST * slot + 1] == block.second()
                && words[WORDS_PER_DIGEST * slot + 2] == block.third()
                && words[WORDS_PER_DIGEST * slot + 3] == block.fourth();
    }

    private Digest digestAt(int slot) {
        return digestAt(words, slot);
    }

    private static Digest digestAt(long[] words, int slot) {
        int at = WORDS_PER_DIGEST * slot;
        return new Digest(words[at], words[at + 1], words[at + 2], words[at + 3]);
    }

    private int homeSlot(long first) {
        return (int) (first >>> 32) & (flags.length - 1);
    }

    private static double smooth(double mean, double newest) {
        return mean + NEWEST_GAP_WEIGHT * (newest - mean);
    }

    private static int seconds(long nowMicros) {
        return (int) (nowMicros / 1_000_000);
    }
}
