package org.rattanrudder.core.fleet;

import java.util.Optional;
import java.util.OptionalDouble;
import org.rattanrudder.core.fleet.LoadReport.SeenRateLimit;

/**
 * The rate limit that a target has named, as this relay and its peers have seen it in responses.
 *
 * <p>Responses may overtake each other, and reports of peers come late. A limit has ended or risen only if a response
 * shows that whose request was sent after the last response with the limit had arrived; any other one may have been
 * written before.
 *
 * <p>All times are milliseconds of a monotonic clock.
 */
final class RateLimit {
    /** How long a relay reports that a limit has ended: some reports may be lost, and far peers get them rarely. */
    private static final long END_REPORTED_MILLIS = 60_000;

    private Optional<Observation> newest = Optional.empty();

    /** The limit of the newest observation; it is asked for each target at each placement. */
    private OptionalDouble requestsPerSecond = OptionalDouble.empty();

    /** Whether this relay itself saw the newest observation; if others were reported too, reports would circulate. */
    private boolean own;

    private final TokenBucket permits = new TokenBucket();

    /**
     * What a response said.
     *
     * @param requestsPerSecond the limit; empty if it named none
     * @param sentAt when its request was sent
     * @param receivedAt when it arrived
     */
    private record Observation(OptionalDouble requestsPerSecond, long sentAt, long receivedAt) {
        boolean isLimited() {
            return requestsPerSecond.isPresent();
        }

        private boolean isAsStrictAs(Observation other) {
            return isLimited()
                    && (!other.isLimited() || requestsPerSecond.getAsDouble() <= other.requestsPerSecond.getAsDouble());
        }

        /** Returns whether it is newer: it surely is, or it may be and is stricter. */
        boolean replaces(Observation other) {
            if (!isAsStrictAs(other)) {
                return other.isLimited() && sentAt > other.receivedAt;
            }
            boolean same = requestsPerSecond.equals(other.requestsPerSecond);
            return same ? receivedAt > other.receivedAt : receivedAt >= other.sentAt;
        }
    }

    /** Returns the limit in requests a second from all relays together; empty if there is none. */
    OptionalDouble requestsPerSecond() {
        return requestsPerSecond;
    }

    /** Returns this relay's permits; they have no meaning while there is no limit. */
    TokenBucket permits() {
        return permits;
    }

    /** Records that this relay sent a request to the target. */
    void onRequestSent() {
        if (requestsPerSecond.isPresent()) {
            permits.take();
        }
    }

    /**
     * Records what a response to this relay says.
     *
     * @param conclusive whether a response without a limit shows that there is none; a rejection doesn't
     * @param sentAt when the request was sent
     */
    void onResponse(RateLimitNotice notice, boolean conclusive, long sentAt, long nowMillis) {
        if (notice instanceof RateLimitNotice.Limited limited) {
            observe(
                    new Observation(OptionalDouble.of(limited.requestsPerSecond()), sentAt, nowMillis),
                    true,
                    nowMillis);
        } else if (notice instanceof RateLimitNotice.NotLimited && conclusive) {
            observe(new Observation(OptionalDouble.empty(), sentAt, nowMillis), true, nowMillis);
        }
    }

    /** Applies what a peer has seen. */
    void applyReport(SeenRateLimit seen, long nowMillis) {
        Observation observation = new Observation(
                seen.requestsPerSecond(), nowMillis - seen.sentAgeMillis(), nowMillis - seen.receivedAgeMillis());
        observe(observation, false, nowMillis);
    }

    private void observe(Observation observation, boolean ownObservation, long nowMillis) {
        boolean replaces = newest.map(observation::replaces).orElse(observation.isLimited());
        if (!replaces) {
            return;
        }
        if (requestsPerSecond.isEmpty()) {
            permits.empty(nowMillis);
        }
        newest = Optional.of(observation);
        requestsPerSecond = observation.requestsPerSecond();
        own = ownObservation;
    }

    /** Returns what to report to peers; empty if there is nothing, or another relay has seen something newer. */
    Optional<SeenRateLimit> toReport(String target, long nowMillis) {
        return newest.filter(seen -> own)
                .filter(seen -> seen.isLimited() || nowMillis - seen.receivedAt() <= END_REPORTED_MILLIS)
                .map(seen -> new SeenRateLimit(
                        target, seen.requestsPerSecond(), nowMillis - seen.sentAt(), nowMillis - seen.receivedAt()));
    }
}
