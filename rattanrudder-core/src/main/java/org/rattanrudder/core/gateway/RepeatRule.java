package org.rattanrudder.core.gateway;

/** Whether a request may run again after an attempt whose outcome isn't known. */
public enum RepeatRule {
    /** May run any number of times. */
    IDEMPOTENT(false, true),
    /** Runs once at most. */
    AT_MOST_ONCE(false, false),
    /** An event stream that runs once at most. */
    STREAM_ONCE(true, false),
    /** An event stream that another target may continue after the last event that was delivered. */
    STREAM_RESUMABLE(true, true);

    private final boolean stream;
    private final boolean repeatable;

    RepeatRule(boolean stream, boolean repeatable) {
        this.stream = stream;
        this.repeatable = repeatable;
    }

    /** Returns whether the answer is an event stream. */
    public boolean stream() {
        return stream;
    }

    /** Returns whether an attempt that may have run can be followed by another one. */
    public boolean repeatable() {
        return repeatable;
    }
}
