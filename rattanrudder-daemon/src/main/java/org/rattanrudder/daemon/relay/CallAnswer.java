package org.rattanrudder.daemon.relay;

/** What came of a call. */
sealed interface CallAnswer {
    /**
     * An answer came, whole.
     *
     * @param status the HTTP status
     * @param body the body
     */
    record Answered(int status, byte[] body) implements CallAnswer {}

    /**
     * No answer came.
     *
     * @param reason why, as one word
     */
    record Unanswered(String reason) implements CallAnswer {}
}
