package org.rattanrudder.core.gateway;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounds the sends of a service beyond the first of each request, over each window of a given length.
 *
 * <p>All gateways together have a ratio of the requests and a number on top. Requests are counted where they arrive, so
 * the ratio needs no agreement: each gateway takes its part of what it saw itself. The number on top is divided by the
 * number of gateways that are known, or by a least number if fewer are; a share that nobody uses is lost, which keeps
 * the sum true while a few gateways can't hear each other.
 */
public final class WindowedRetryBudget {
    /** The least number of gateways that the repeats on top are divided by: those that are known may be fewer. */
    static final int LEAST_GATEWAYS = 16;

    private double ratio;
    private double extra;
    private final long windowMillis;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> retryCount = new ArrayDeque<>();

    /**
     * Makes an allowance.
     *
     * @param ratio repeats for each request in a window
     * @param extra repeats on top of it in each window, for all gateways together
     * @param windowMillis the length of a window
     */
    public WindowedRetryBudget(double ratio, double extra, long windowMillis) {
        this.ratio = ratio;
        this.extra = extra;
        this.windowMillis = windowMillis;
    }

    /** Changes what is allowed; what was sent in the window before counts on. */
    public void update(double newRatio, double newExtra) {
        ratio = newRatio;
        extra = newExtra;
    }

    /** Notes the first send of a request. */
    public void onRequest(long nowMillis) {
        forget(nowMillis);
        requests.addLast(nowMillis);
    }

    /**
     * Takes a repeat; false if none is left in the window that ends now.
     *
     * @param gateways how many gateways are known, this one included
     */
    public boolean tryAcquire(int gateways, long nowMillis) {
        forget(nowMillis);
        double share = extra / Math.max(LEAST_GATEWAYS, gateways);
        if (retryCount.size() + 1 > ratio * requests.size() + share) {
            return false;
        }
        retryCount.addLast(nowMillis);
        return true;
    }

    /** Returns the repeats in the window that ends now. */
    public int retryCount(long nowMillis) {
        forget(nowMillis);
        return retryCount.size();
    }

    private void forget(long nowMillis) {
        drop(requests, nowMillis);
        drop(retryCount, nowMillis);
    }

    private void drop(Deque<Long> times, long nowMillis) {
        while (!times.isEmpty() && times.peekFirst() <= nowMillis - windowMillis) {
            times.removeFirst();
        }
    }
}
