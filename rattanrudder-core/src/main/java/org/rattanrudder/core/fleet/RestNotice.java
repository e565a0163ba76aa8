package org.rattanrudder.core.fleet;

/** What a response says of the rest that its target wants: a time in which this relay sends it nothing. */
public sealed interface RestNotice {
    /**
     * The target wants rest.
     *
     * @param millis for how long, at least 1 ms
     */
    record Asked(long millis) implements RestNotice {}

    /** The response asks for no rest. */
    record NotAsked() implements RestNotice {}

    /**
     * The response asks for a rest that can't be read.
     *
     * @param value what it says instead of a time
     */
    record Unreadable(String value) implements RestNotice {}
}
