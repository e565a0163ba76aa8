package org.rattanrudder.daemon.relay.peers;

/**
 * Decides when a message of an unknown sender leads to a read of the relays' registrations. All times are in ms.
 *
 * <p>It is that of a relay that has just registered, or anybody's, who may never stop: reads that find no relay follow
 * each other more and more slowly.
 */
final class UnknownSenders {
    private static final long MIN_INTERVAL_MILLIS = 1_000;
    private static final long MAX_INTERVAL_MILLIS = 16_000;

    private long intervalMillis = MIN_INTERVAL_MILLIS;
    private long nextReadAt = Long.MIN_VALUE / 2;

    /** Returns whether the registrations are to be read, now that a message of an unknown sender has come. */
    boolean leadToRead(long now) {
        if (now < nextReadAt) {
            return false;
        }
        nextReadAt = now + intervalMillis;
        intervalMillis = Math.min(MAX_INTERVAL_MILLIS, 2 * intervalMillis);
        return true;
    }

    /** Handles a relay's registration that was read. */
    void onRegistration() {
        intervalMillis = MIN_INTERVAL_MILLIS;
    }
}
