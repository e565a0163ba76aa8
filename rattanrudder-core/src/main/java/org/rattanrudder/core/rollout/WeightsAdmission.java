package org.rattanrudder.core.rollout;

import java.util.function.LongSupplier;

/**
 * Decides on which weights a request may still begin.
 *
 * <p>Everything that sends requests to engines asks here: when a target is chosen, for whichever attempt, right before
 * the request is sent, and as long as it hasn't begun. A request begins with its first token, after its engine's queue,
 * fetches and the prefill, so it is sent only some time before the bound, and withdrawn if it hasn't begun by then.
 *
 * <p>All times are milliseconds of a monotonic clock.
 */
public final class WeightsAdmission {
    /** Usual time from the choice of an engine to the first token: a connection, the queue, a fetch and the prefill. */
    static final long SEND_MARGIN_MILLIS = 2_000;

    /** Time for a late event loop, and for an engine to learn that a request is withdrawn. */
    static final long BEGIN_MARGIN_MILLIS = 500;

    private final DesiredVersions versions;
    private final LongSupplier boundMillis;

    /**
     * Creates an admission.
     *
     * @param boundMillis returns after which time no request may begin on older weights
     */
    public WeightsAdmission(DesiredVersions versions, LongSupplier boundMillis) {
        this.versions = versions;
        this.boundMillis = boundMillis;
    }

    /** Returns the oldest version to which a request is sent; 0 if any will do. */
    public long oldestToSend(String model, long nowMillis) {
        return versions.oldestAllowed(model, boundMillis.getAsLong() - SEND_MARGIN_MILLIS, nowMillis);
    }

    /** Returns the time until which a request that was sent to a version may begin; far away if nothing ends it. */
    public long beginsUntil(String model, long version) {
        long newerSince = versions.firstNewerSince(model, version);
        return newerSince == Long.MAX_VALUE ? newerSince : newerSince + boundMillis.getAsLong() - BEGIN_MARGIN_MILLIS;
    }

    /**
     * Returns the version that a target is asked for, which turns the request away if it has another one; 0 if none is
     * named.
     *
     * @param known the version that the target is known to serve; 0 if that isn't known
     */
    public long versionToExpect(String model, long known) {
        return known > 0 ? known : versions.newest(model);
    }
}
