package org.rattanrudder.core.gateway;

/**
 * A part of a prompt that other requests may share.
 *
 * @param id identifies its content
 * @param tokens its length
 */
public record PromptPart(String id, int tokens) {
    /** The greatest length that is counted; sums over the parts of a prompt don't overflow. */
    public static final int MAX_TOKENS = 1_000_000;
}
