package org.rattanrudder.daemon.relay.targets;

import java.util.Arrays;

/** The IDs of the requests that were sent on one connection, of a bounded number, as hashes. */
final class SentIds {
    /** A connection isn't kept after so many requests. */
    static final int MAX_IDS = 1_000;

    private static final int FIRST_CAPACITY = 8;

    private int[] hashes = new int[FIRST_CAPACITY];
    private int count;

    void add(String id) {
        if (count == hashes.length) {
            hashes = Arrays.copyOf(hashes, 2 * count);
        }
        hashes[count++] = id.hashCode();
    }

    /** Returns whether an ID may be among them; of a thousand IDs, fewer than one in a million others seem to be. */
    boolean mayContain(String id) {
        int hash = id.hashCode();
        for (int index = 0; index < count; index++) {
            if (hashes[index] == hash) {
                return true;
            }
        }
        return false;
    }

    boolean isFull() {
        return count >= MAX_IDS;
    }
}
