package org.rattanrudder.daemon.relay.port;

import java.util.Optional;
import java.util.OptionalLong;
import org.rattanrudder.core.fleet.RateLimitNotice;

/**
 * The metadata in the head of a target's response.
 *
 * @param status the HTTP status
 * @param requestId the ID of the request that it answers; empty if missing
 * @param signed whether the target signed it
 * @param notRun whether the target reports that it didn't run the request
 * @param misdirected whether the request was meant for another target or other weights
 * @param target the incarnation that answered, if reported
 * @param load the target's load, if reported
 * @param weights the version of the weights that it ran on, if reported
 * @param keepAliveMillis how long the target keeps an idle connection open, if reported
 * @param warmUpMillis how long the target still warms up, if reported
 * @param rateLimit what it says of the target's rate limit
 */
public record ResponseMetadata(
        int status,
        Optional<String> requestId,
        boolean signed,
        boolean notRun,
        boolean misdirected,
        Optional<String> target,
        Optional<Load> load,
        OptionalLong weights,
        OptionalLong keepAliveMillis,
        OptionalLong warmUpMillis,
        RateLimitNotice rateLimit) {
    /**
     * The load of a target.
     *
     * @param running requests that are running
     * @param queued requests in its queue
     */
    public record Load(int running, int queued) {}

    /** Returns whether the request succeeded. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
