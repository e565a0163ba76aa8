package org.rattanrudder.core.gateway;

/** How an attempt at a target ended without an answer that can be passed on. */
public enum AttemptOutcome {
    /** No connection could be had: the target has seen nothing. */
    NOT_SENT(false),
    /** The target said that it didn't run the request. */
    REJECTED(false),
    /** The target isn't the one that was meant, or has other weights; it didn't run the request. */
    MISDIRECTED(false),
    /** The connection ended, or what came was no answer; the request may have run. */
    BROKEN(true),
    /** Nothing came in time; the request may have run. */
    SILENT(true),
    /** The target ran the request and answered that it failed. */
    FAILED(true);

    private final boolean mayHaveRun;

    AttemptOutcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /** Returns whether the target may have worked on the request. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
