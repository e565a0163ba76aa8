package org.rattanrudder.daemon.relay.store;

/** The delays between attempts that fail one after the other: each is twice the one before, up to a limit. */
final class BackOff {
    private static final long MIN_MILLIS = 50;
    private static final long MAX_MILLIS = 800;

    /** Limits the shift that doubles the back-off; the maximum is reached by then. */
    private static final int MAX_DOUBLINGS = 5;

    private BackOff() {}

    /** Returns the back-off after this many consecutive failures, in ms. */
    static long millis(int failures) {
        return Math.min(MAX_MILLIS, MIN_MILLIS << Math.min(failures, MAX_DOUBLINGS));
    }
}
