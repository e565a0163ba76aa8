package org.rattanrudder.daemon.relay.net;

/** Counts the calls of several clients that await an answer; confined to one event loop. */
public final class CallsInFlight {
    private int count;

    /** Creates a count of no calls. */
    public CallsInFlight() {}

    /** Returns how many calls await an answer. */
    public int count() {
        return count;
    }

    void onCall() {
        count++;
    }

    void onEnd() {
        count--;
    }
}
