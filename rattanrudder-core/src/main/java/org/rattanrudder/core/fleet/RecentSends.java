package org.rattanrudder.core.fleet;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Counts the requests that were sent to one target within the last second, and those that are about to be sent.
 *
 * <p>A request is reserved when its target is chosen and sent once a connection is open, which may take some hundred
 * ms. A reservation counts until then, however long it takes: if none is made beyond a limit, no second holds more
 * sends than that limit.
 *
 * <p>All times are milliseconds of a monotonic clock.
 */
final class RecentSends {
    /** A second, and what the clocks of two machines may differ within it. */
    static final long WINDOW_MILLIS = 1_050;

    private final Deque<Long> sentAt = new ArrayDeque<>();
    private int reserved;

    /** Records that a request is about to be sent. */
    void reserve() {
        reserved++;
    }

    /** Records that a reserved request won't be sent. */
    void cancel() {
        reserved--;
    }

    /** Records that a reserved request was sent. */
    void onSent(long nowMillis) {
        reserved--;
        add(1, nowMillis);
    }

    /** Records sends of others, which were never reserved here. */
    void add(int count, long nowMillis) {
        for (int each = 0; each < count; each++) {
            sentAt.addLast(nowMillis);
        }
        removeOld(nowMillis);
    }

    /** Returns how many requests were sent within the last second. */
    int sent(long nowMillis) {
        removeOld(nowMillis);
        return sentAt.size();
    }

    /** Returns how many requests are reserved. */
    int reserved() {
        return reserved;
    }

    private void removeOld(long nowMillis) {
        while (!sentAt.isEmpty() && nowMillis - sentAt.peekFirst() >= WINDOW_MILLIS) {
            sentAt.removeFirst();
        }
    }
}
