package org.rattanrudder.core.log;

/** What the platform's log said to one append. */
public sealed interface AppendResult {
    /**
     * It was appended.
     *
     * @param offset its place
     */
    record Appended(long offset) implements AppendResult {}

    /** It was refused before any effect: it may be appended anew. */
    record Refused() implements AppendResult {}

    /** No answer came: it may be in the log or may still get there; only reading back tells. */
    record Unknown() implements AppendResult {}
}
