package org.rattanrudder.core.gateway;

/** How an attempt at a target ended without a response that can be forwarded. */
public enum AttemptOutcome {
    /** No connection could be opened: the target has received nothing. */
    NOT_SENT(false),
    /** The target confirmed that it did not run the request. */
    REJECTED(false),
    /** The request was meant for another target, or for other weights, and did not run. */
    MISDIRECTED(false),
    /** The connection was closed, or the response was invalid; the request may have run. */
    BROKEN(true),
    /** The response timed out; the request may have run. */
    SILENT(true),
    /** The relay took the request back before its response began; the request may have run. */
    WITHDRAWN(true),
    /** The target ran the request and responded with an error. */
    FAILED(true);

    private final boolean mayHaveRun;

    AttemptOutcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /** Returns whether the target may have executed the request. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
