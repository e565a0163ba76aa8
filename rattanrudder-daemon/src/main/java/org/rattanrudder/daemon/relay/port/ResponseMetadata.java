package org.rattanrudder.daemon.relay.port;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the head of a target's answer says.
 *
 * @param status the HTTP status
 * @param requestId the request that it answers; empty if it doesn't say
 * @param signed whether the target vouches for it
 * @param notRun whether the target says that it didn't run the request
 * @param misdirected whether another target, or other weights, were meant
 * @param target the incarnation that answered, if it says so
 * @param load the target's load, if it says so
 * @param weights the version of weights that it ran on, if it says so
 * @param keepAliveMillis how long the target keeps the connection open when idle, if it says so
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
        OptionalLong keepAliveMillis) {
    /**
     * The load of a target.
     *
     * @param running requests that it works on
     * @param queued requests in its queue
     */
    public record Load(int running, int queued) {}

    /** Returns whether it says that the request succeeded. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
