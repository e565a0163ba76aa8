package org.rattanrudder.core.cache;

import java.util.random.RandomGenerator;

/**
 * The circuit breaker of a store.
 *
 * <p>Without it, an unavailable or slow store would delay every prompt by the lookup timeout. Each consecutive
 * failure doubles the time for which the store gets no requests. After that, a single request probes it, and all
 * others skip it until the probe is answered. Jitter keeps the companions from all probing a store at the moment at
 * which it recovers.
 */
final class StoreCircuitBreaker {
    static final long MIN_BACKOFF_MICROS = 500_000;
    static final long MAX_BACKOFF_MICROS = 60_000_000;

    private final RandomGenerator random;
    private long backoffMicros;
    private long openUntilMicros;
    private boolean probing;

    StoreCircuitBreaker(RandomGenerator random) {
        this.random = random;
    }

    /** Returns whether a request may be sent to the store now. */
    boolean allowsRequest(long nowMicros) {
        return backoffMicros == 0 || (!probing && nowMicros >= openUntilMicros);
    }

    /** Records that a request is sent to the store. */
    void onRequest() {
        probing = backoffMicros > 0;
    }

    /** Records a response. */
    void onSuccess() {
        backoffMicros = 0;
        probing = false;
    }

    /** Records that no response arrived in time. */
    void onFailure(long nowMicros) {
        if (backoffMicros > 0 && !probing && nowMicros < openUntilMicros) {
            // Requests that were sent together fail together: they count as one failure.
            return;
        }
        probing = false;
        backoffMicros = backoffMicros == 0 ? MIN_BACKOFF_MICROS : Math.min(2 * backoffMicros, MAX_BACKOFF_MICROS);
        openUntilMicros = nowMicros + (long) (backoffMicros * (0.5 + random.nextDouble()));
    }
}
