package org.rattanrudder.core.document;

/**
 * How contexts are split into blocks, cached and transferred.
 *
 * @param favour the objective that takes precedence where the two conflict
 * @param pieceTokens the number of tokens in one block
 * @param bytesPerToken the size of one token's KV cache
 * @param prefillTokensPerSecond the rate at which an engine recomputes context, used until it is measured
 */
public record CacheSettings(Favour favour, int pieceTokens, int bytesPerToken, long prefillTokensPerSecond) {
    /** The objective that a team gives precedence. */
    public enum Favour {
        /** A short time to the first token. */
        FIRST_TOKEN,
        /** A small share of recomputed context. */
        RECOMPUTE
    }

    /** Returns the size of one whole block in bytes. */
    public long pieceBytes() {
        return (long) pieceTokens * bytesPerToken;
    }
}
