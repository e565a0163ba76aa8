package org.rattanrudder.core.gateway;

/** How the body of a response ended, as far as its connection and its framing tell. */
public sealed interface ResponseEnd {
    /** The framing declared the end: a length that was reached, a last chunk, or a head that has no body. */
    record Declared() implements ResponseEnd {}

    /** The connection was closed in order, and nothing else marks the end of the body. */
    record ConnectionClosed() implements ResponseEnd {}

    /**
     * The body is incomplete: its connection was reset, or closed before the declared end, or the response is invalid.
     *
     * @param reason the cause in a few words
     */
    record BrokenOff(String reason) implements ResponseEnd {}

    /** Returns the name of the kind of end for logs and metrics. */
    default String wireName() {
        if (this instanceof Declared) {
            return "declared";
        }
        return this instanceof ConnectionClosed ? "connection" : "broken_off";
    }
}
