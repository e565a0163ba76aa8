package org.rattanrudder.core.entry;

import java.util.List;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.Refusal;
import org.rattanrudder.core.model.ServiceName;

/** An answer to an operator. */
public sealed interface OperatorReply {
    /**
     * The document is accepted.
     *
     * @param service the service
     * @param revision its revision
     */
    record Published(ServiceName service, long revision) implements OperatorReply {}

    /**
     * It could not be done.
     *
     * @param refusal why; for a conflict the detail names the revision in force
     */
    record Refused(Refusal refusal) implements OperatorReply {}

    /**
     * A document in force.
     *
     * @param service the service
     * @param revision its revision
     * @param text the text as published
     */
    record Shown(ServiceName service, long revision, String text) implements OperatorReply {}

    /**
     * The state of the system as one entry sees it.
     *
     * @param instance the entry's name
     * @param failureDomain where it stands
     * @param logReachable whether the log answered lately
     * @param services each service with its revision
     * @param companions each companion
     */
    record SystemStatus(
            String instance,
            String failureDomain,
            boolean logReachable,
            List<Frame.ServiceRevision> services,
            List<CompanionStatus> companions)
            implements OperatorReply {}

    /**
     * One companion as an entry sees it.
     *
     * @param address its address
     * @param instance its name; empty if it was never heard of
     * @param failureDomain where it stands
     * @param connected whether it was heard of lately
     * @param heartbeatAgeMillis how long ago it was heard of; -1 for never
     * @param targets its targets
     * @param revisions the revisions in force there
     */
    record CompanionStatus(
            String address,
            String instance,
            String failureDomain,
            boolean connected,
            long heartbeatAgeMillis,
            List<Frame.TargetState> targets,
            List<Frame.ServiceRevision> revisions) {}

    /**
     * Where a request would go.
     *
     * @param service the service
     * @param chosen the target's name; empty if it would be refused
     * @param reason one line
     * @param weighed every target that was weighed, best first
     */
    record Explanation(ServiceName service, String chosen, String reason, List<Candidate> weighed)
            implements OperatorReply {}

    /**
     * One target as it was weighed.
     *
     * @param target its name
     * @param estimateMicros the estimated time to the first token
     * @param waitMicros of this, the wait
     * @param contextMicros of this, fetching or computing context
     * @param note why it was taken, passed over or not eligible
     */
    record Candidate(String target, long estimateMicros, long waitMicros, long contextMicros, String note) {}
}
