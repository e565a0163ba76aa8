package org.rattanrudder.daemon.relay.port;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.rattanrudder.core.fleet.SelfReport;

/**
 * The metadata in the head of a target's response.
 *
 * @param status the HTTP status
 * @param requestId the ID of the request that it answers; empty if missing
 * @param signed whether the target signed it
 * @param notRun whether the target reports that it didn't run the request
 * @param misdirected whether the request was meant for another target or other weights
 * @param target the incarnation that answered, if reported
 * @param weights the version of the weights that it ran on, if reported
 * @param keepAliveMillis how long the target keeps an idle connection open, if reported
 * @param selfReport what it says of the target itself
 * @param unknownHeaders the names of its headers that nothing reads and that aren't known to be meant for callers, and
 *     of figures in headers that can't be read
 */
public record ResponseMetadata(
        int status,
        Optional<String> requestId,
        boolean signed,
        boolean notRun,
        boolean misdirected,
        Optional<String> target,
        OptionalLong weights,
        OptionalLong keepAliveMillis,
        SelfReport selfReport,
        Set<String> unknownHeaders) {
    public ResponseMetadata {
        unknownHeaders = Set.copyOf(unknownHeaders);
    }

    /** Returns whether the target has answered that is meant: another one may listen at its address. */
    public boolean isFrom(String expected) {
        return target.map(expected::equals).orElse(!misdirected);
    }

    /** Returns whether the request succeeded. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
