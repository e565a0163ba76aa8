package org.rattanrudder.core.fleet;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What the head of a response says of the target itself, whatever it was asked.
 *
 * @param load its load, if reported
 * @param warmUpMillis how long it still warms up, if reported
 * @param rateLimit its rate limit
 * @param rest the rest that it wants
 * @param leaving whether it shuts down and wants no new requests
 */
public record SelfReport(
        Optional<Load> load, OptionalLong warmUpMillis, RateLimitNotice rateLimit, RestNotice rest, boolean leaving) {
    /**
     * The load of a target.
     *
     * @param running requests that are running
     * @param queued requests in its queue
     * @param slots requests that it runs at once, if reported
     * @param pacePercent how long work takes there at this moment, in percent of the usual time, if reported
     */
    public record Load(int running, int queued, OptionalInt slots, OptionalInt pacePercent) {}
}
