package org.rattanrudder.core.fleet;

import java.util.OptionalInt;

/**
 * What determines the estimate of how fast a target is now, for logs.
 *
 * @param pacePercent the last pace that the target reported, as it is used; empty if it has reported none
 * @param paceAgeMillis how old that report is, in ms
 * @param factor the learned factor of the target, 1 for a target like all others
 * @param slowdown how long work takes there now, as a multiple of what is usual in its service
 * @param tokensPerMilli the learned prefill speed of its service at the usual pace, in tokens/ms
 * @param baseMillis the learned time to the first event of its service without prefill, in ms
 * @param kneeRequests the number of requests from which on more work makes all of it slower; empty if not known
 */
public record CapacityEstimate(
        OptionalInt pacePercent,
        long paceAgeMillis,
        double factor,
        double slowdown,
        double tokensPerMilli,
        double baseMillis,
        OptionalInt kneeRequests) {}
