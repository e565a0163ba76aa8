package org.rattanrudder.core.model;

/** Whether a request that got no answer may have run. */
public enum RunState {
    /** The target has not started it and never will, so a retry is safe. */
    NOT_RUN("not_run"),
    /** The target may have run it, completely or in part. */
    UNKNOWN("unknown");

    private final String wireName;

    RunState(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the name used in the error body. */
    public String wireName() {
        return wireName;
    }
}
