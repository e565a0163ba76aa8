package org.rattanrudder.wire.http;

/**
 * Bounds of a call whose answer is wanted whole.
 *
 * @param millis how long it may take, in ms; 0 for no bound
 * @param rawBytes how many bytes may be received for it, heads and framing included; 0 for no bound
 */
record FetchBounds(int millis, long rawBytes) {
    /** The bounds of a call whose answer is streamed: its reader bounds it. */
    static final FetchBounds NONE = new FetchBounds(0, 0);

    /** How many times as long an answer may be on the wire as its body: chunks have heads of their own. */
    private static final int RAW_RATIO = 2;

    private static final int HEAD_BYTES = 64 * 1_024;

    /** Returns the bounds of a request whose answer's body may have so many bytes. */
    static FetchBounds of(HttpRequest request, int limitBytes) {
        return new FetchBounds(request.timeouts().wholeMillis(), (long) RAW_RATIO * limitBytes + HEAD_BYTES);
    }
}
