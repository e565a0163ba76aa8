package org.rattanrudder.core.cache.bench;

import org.rattanrudder.core.document.CacheSettings.Favour;

/**
 * The shape of a deployment.
 *
 * @param name its name in the tables
 * @param favour the cost that the service favours saving
 * @param targets the number of engines
 * @param minBlocks the length of the shortest context, in blocks
 * @param maxBlocks the length of the longest context, in blocks
 * @param minGapSeconds the shortest mean gap between uses of a context
 * @param maxGapSeconds the longest mean gap between uses of a context
 * @param onceShare the share of contexts that are used only once
 * @param engineBlocks how many blocks an engine holds
 */
record Shape(
        String name,
        Favour favour,
        int targets,
        int minBlocks,
        int maxBlocks,
        int minGapSeconds,
        int maxGapSeconds,
        double onceShare,
        int engineBlocks) {
    static final int PIECE_TOKENS = 2000;
    static final int BYTES_PER_TOKEN = 1000;
    static final long PIECE_BYTES = (long) PIECE_TOKENS * BYTES_PER_TOKEN;
    static final long PREFILL_TOKENS = 20_000;
    static final long TARGET_LINK = 200_000_000;
    static final long STORE_LINK = 400_000_000;

    /** Long dossiers that are used again after hours. */
    static Shape addis(int engineBlocks) {
        return new Shape("Addis", Favour.RECOMPUTE, 8, 8, 32, 1_200, 86_400, 0.4, engineBlocks);
    }

    /** Shift sheets and tanking records that are used again within a shift or at the next. */
    static Shape povazie(int engineBlocks) {
        return new Shape("Povazie", Favour.FIRST_TOKEN, 6, 2, 6, 300, 43_200, 0.4, engineBlocks);
    }
}
