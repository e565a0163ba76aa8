package org.rattanrudder.core.quarantine;

import java.util.BitSet;

/** Sets of numbers. */
final class BitSets {
    private BitSets() {}

    /** Returns whether one set contains all of another one. */
    static boolean containsAll(BitSet larger, BitSet smaller) {
        for (int number = smaller.nextSetBit(0); number >= 0; number = smaller.nextSetBit(number + 1)) {
            if (!larger.get(number)) {
                return false;
            }
        }
        return true;
    }

    /** Returns what two sets have in common. */
    static BitSet intersection(BitSet first, BitSet second) {
        BitSet both = (BitSet) first.clone();
        both.and(second);
        return both;
    }
}
