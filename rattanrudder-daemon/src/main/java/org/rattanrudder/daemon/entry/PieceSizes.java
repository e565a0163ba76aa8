package org.rattanrudder.daemon.entry;

import java.util.Map;

/** How many tokens a piece of each service's prompts has; set by the handler thread, read by I/O threads. */
final class PieceSizes {
    /** For a service that isn't known: what the platform's caches move. */
    static final int DEFAULT_PIECE_TOKENS = 2_000;

    private volatile Map<String, Integer> pieceTokens = Map.of();

    void set(Map<String, Integer> inForce) {
        pieceTokens = Map.copyOf(inForce);
    }

    int of(String service) {
        return pieceTokens.getOrDefault(service, DEFAULT_PIECE_TOKENS);
    }
}
