package org.rattanrudder.core.fleet;

/** What a response says of the rest that its target wants: a time in which this relay sends it nothing. */
public sealed interface RestNotice {
    /** The longest rest that is observed at once: a single wrong value must not take a target away for a day. */
    long MAX_MILLIS = 60_000;

    /**
     * The target wants rest.
     *
     * @param millis for how long, at least 1 ms
     */
    record Asked(long millis) implements RestNotice {
        /** Returns for how long it is left alone, in ms. */
        public long observedMillis() {
            return Math.min(MAX_MILLIS, millis);
        }
    }

    /** The response asks for no rest. */
    record NotAsked() implements RestNotice {}

    /**
     * The response asks for a rest that can't be read.
     *
     * @param value what it says instead of a time
     */
    record Unreadable(String value) implements RestNotice {}
}
