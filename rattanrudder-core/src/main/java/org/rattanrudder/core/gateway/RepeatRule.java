package org.rattanrudder.core.gateway;

/** Whether a request may run again after an attempt with an unknown outcome. */
public enum RepeatRule {
    /** May run any number of times. */
    IDEMPOTENT(false, true),
    /** Runs at most once. */
    AT_MOST_ONCE(false, false),
    /** An event stream that runs at most once. */
    STREAM_ONCE(true, false),
    /** An event stream that another target may resume after the last delivered event. */
    STREAM_RESUMABLE(true, true);

    private final boolean stream;
    private final boolean repeatable;

    RepeatRule(boolean stream, boolean repeatable) {
        this.stream = stream;
        this.repeatable = repeatable;
    }

    /** Returns whether the response is an event stream. */
    public boolean stream() {
        return stream;
    }

    /** Returns whether another attempt may follow one that may have run. */
    public boolean repeatable() {
        return repeatable;
    }
}
