package org.rattanrudder.core.log;

/** The result of one append to the platform's log. */
public sealed interface AppendResult {
    /**
     * The batch was appended.
     *
     * @param offset its offset in the stream
     */
    record Appended(long offset) implements AppendResult {}

    /** The append was refused before it had any effect, so it may be retried. */
    record Refused() implements AppendResult {}

    /**
     * No response was received: the batch may be in the log or may still arrive there. Only reading the stream shows
     * it.
     */
    record Unknown() implements AppendResult {}
}
