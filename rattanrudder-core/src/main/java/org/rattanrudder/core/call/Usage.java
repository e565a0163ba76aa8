package org.rattanrudder.core.call;

/**
 * The tokens, bytes and queueing time that an answered prompt used.
 *
 * @param promptTokens the number of prompt tokens
 * @param cachedTokens prompt tokens that were found in the cache and not recomputed
 * @param fetchedTokens cached tokens whose blocks were fetched from a store for this request
 * @param fetchedBytes bytes fetched over the store's link for this request
 * @param completionTokens the number of tokens of the answer
 * @param queuedMicros the time from acceptance by the companion until the target was called, in microseconds
 */
public record Usage(
        int promptTokens,
        int cachedTokens,
        int fetchedTokens,
        long fetchedBytes,
        int completionTokens,
        long queuedMicros) {
    /** The usage of a call that is not a prompt. */
    public static final Usage NONE = new Usage(0, 0, 0, 0, 0, 0);
}
