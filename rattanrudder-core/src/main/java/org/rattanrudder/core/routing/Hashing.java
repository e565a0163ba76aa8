package org.rattanrudder.core.routing;

import org.rattanrudder.core.model.Digest;

/** Fast, well-distributed 64-bit hashes that are the same in every process. */
public final class Hashing {
    private static final long FIRST_MULTIPLIER = 0xbf58476d1ce4e5b9L;
    private static final long SECOND_MULTIPLIER = 0x94d049bb133111ebL;

    private Hashing() {}

    /** Returns a hash of the text. */
    public static long of(String text) {
        return Digest.of(text).first();
    }

    /** Returns a hash of both values, in order. */
    public static long combine(long left, long right) {
        return mix(left ^ mix(right + FIRST_MULTIPLIER));
    }

    /** Mixes a value with the finalizer of SplitMix64, so that each result bit depends on all bits of the value. */
    public static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * FIRST_MULTIPLIER;
        mixed = (mixed ^ (mixed >>> 27)) * SECOND_MULTIPLIER;
        return mixed ^ (mixed >>> 31);
    }
}
