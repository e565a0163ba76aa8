package org.rattanrudder.core.gateway;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the retries of a service over a sliding window.
 *
 * <p>All relays together may retry a ratio of the requests, plus a fixed number. Each relay applies the ratio to the
 * requests that it receives itself, which needs no coordination. The fixed number is divided by the number of known
 * relays, or by a minimum if fewer are known. Unused shares are not redistributed, so the total stays within its limit
 * even while some relays can't reach each other.
 */
public final class WindowedRetryBudget {
    /** Minimum number of relays that the fixed number is divided by: there may be more relays than are known. */
    static final int MIN_RELAYS = 16;

    private double ratio;
    private double extra;
    private final long windowMillis;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> retries = new ArrayDeque<>();

    /**
     * Creates a budget.
     *
     * @param ratio retries per request in a window
     * @param extra further retries in each window, over all relays
     * @param windowMillis the length of a window
     */
    public WindowedRetryBudget(double ratio, double extra, long windowMillis) {
        this.ratio = ratio;
        this.extra = extra;
        this.windowMillis = windowMillis;
    }

    /** Changes the limits; requests and retries in the current window still count. */
    public void update(double newRatio, double newExtra) {
        ratio = newRatio;
        extra = newExtra;
    }

    /** Records the first attempt of a request. */
    public void onRequest(long nowMillis) {
        removeExpired(nowMillis);
        requests.addLast(nowMillis);
    }

    /**
     * Takes one retry from the budget; returns false if none is left in the window that ends now.
     *
     * @param relays how many relays are known, including this one
     */
    public boolean tryAcquire(int relays, long nowMillis) {
        removeExpired(nowMillis);
        double share = extra / Math.max(MIN_RELAYS, relays);
        if (retries.size() + 1 > ratio * requests.size() + share) {
            return false;
        }
        retries.addLast(nowMillis);
        return true;
    }

    /** Returns the number of retries in the window that ends now. */
    public int retryCount(long nowMillis) {
        removeExpired(nowMillis);
        return retries.size();
    }

    private void removeExpired(long nowMillis) {
        drop(requests, nowMillis);
        drop(retries, nowMillis);
    }

    private void drop(Deque<Long> times, long nowMillis) {
        while (!times.isEmpty() && times.peekFirst() <= nowMillis - windowMillis) {
            times.removeFirst();
        }
    }
}
