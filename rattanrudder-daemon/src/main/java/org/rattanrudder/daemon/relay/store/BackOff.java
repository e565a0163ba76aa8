package org.rattanrudder.daemon.relay.store;

import java.util.function.DoubleSupplier;

/**
 * The delays between attempts that fail one after the other: they about double, up to a limit.
 *
 * <p>Those below the limit are spread at random, since an outage fails the attempts of all relays at the same time;
 * they stay apart from then on.
 */
final class BackOff {
    private static final long MIN_MILLIS = 50;

    /** Limits the shift that doubles the back-off; it is above any maximum by then. */
    private static final int MAX_DOUBLINGS = 20;

    private final long maxMillis;
    private final DoubleSupplier random;

    /**
     * Creates a back-off.
     *
     * @param maxMillis the limit of a delay, in ms
     * @param random returns random numbers from 0 to 1
     */
    BackOff(long maxMillis, DoubleSupplier random) {
        this.maxMillis = maxMillis;
        this.random = random;
    }

    /** Returns the delay after so many consecutive failures before the last one, in ms. */
    long millis(int failures) {
        long shortest = MIN_MILLIS << Math.min(failures, MAX_DOUBLINGS);
        return Math.min(maxMillis, Math.round(shortest * (1 + random.getAsDouble())));
    }
}
