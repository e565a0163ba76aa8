package org.rattanrudder.core.fleet;

import java.util.OptionalDouble;

/**
 * The rate limit that a target has named in its responses, if any.
 *
 * <p>Responses may overtake each other. Only a response to a request that was sent after the last response with a limit
 * shows that the limit has ended or has risen: an earlier one may have been written before the target named it.
 *
 * <p>All times are milliseconds of a monotonic clock.
 */
final class RateLimit {
    private static final long NEVER = Evacuations.NEVER;

    private OptionalDouble requestsPerSecond = OptionalDouble.empty();
    private long observedAt = NEVER;

    /** Returns the limit in requests a second from all relays together; empty if there is none. */
    OptionalDouble requestsPerSecond() {
        return requestsPerSecond;
    }

    /**
     * Records what a response says.
     *
     * @param conclusive whether a response without a limit shows that there is none; a rejection doesn't
     * @param sentAt when the request was sent
     */
    void onResponse(RateLimitNotice notice, boolean conclusive, long sentAt, long nowMillis) {
        if (notice instanceof RateLimitNotice.Limited limited) {
            onLimited(limited.requestsPerSecond(), sentAt, nowMillis);
        } else if (notice instanceof RateLimitNotice.NotLimited && conclusive && sentAt > observedAt) {
            requestsPerSecond = OptionalDouble.empty();
        }
    }

    private void onLimited(double named, long sentAt, long nowMillis) {
        boolean lower = requestsPerSecond.isEmpty() || named <= requestsPerSecond.getAsDouble();
        if (lower || sentAt > observedAt) {
            requestsPerSecond = OptionalDouble.of(named);
            observedAt = nowMillis;
        }
    }
}
