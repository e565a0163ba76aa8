package org.rattanrudder.core.entry;

import java.util.List;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.Refusal;
import org.rattanrudder.core.model.ServiceName;

/** A reply to an operator. */
public sealed interface OperatorReply {
    /**
     * The document was accepted.
     *
     * @param service the service
     * @param revision the document's revision
     */
    record Published(ServiceName service, long revision) implements OperatorReply {}

    /**
     * The call was refused.
     *
     * @param refusal the reason; for a conflict its detail contains the revision in force
     */
    record Refused(Refusal refusal) implements OperatorReply {}

    /**
     * A document that is in force.
     *
     * @param service the service
     * @param revision the document's revision
     * @param text the text as published
     */
    record Shown(ServiceName service, long revision, String text) implements OperatorReply {}

    /**
     * One entry's view of the state of the system.
     *
     * @param instance the entry's instance name
     * @param failureDomain the entry's failure domain
     * @param logReachable whether the last read of the log succeeded
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
     * An entry's view of one companion.
     *
     * @param address the companion's address
     * @param instance the companion's instance name; empty if no hello was ever received
     * @param failureDomain the companion's failure domain; empty if no hello was ever received
     * @param connected whether the link is open and the last heartbeat is fresh
     * @param heartbeatAgeMillis age of the last heartbeat; -1 if there was none
     * @param targets the targets in its last heartbeat
     * @param revisions the revisions in force at the companion by its last heartbeat
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
     * The routing decision for a request.
     *
     * @param service the service
     * @param chosen the chosen target's name; empty if the request would be refused
     * @param reason the reason as one line
     * @param weighed the candidates, best first
     */
    record Explanation(ServiceName service, String chosen, String reason, List<Candidate> weighed)
            implements OperatorReply {}

    /**
     * One candidate of a routing decision.
     *
     * @param target the target's name
     * @param estimateMicros the estimated time to the first token
     * @param waitMicros the part of the estimate for waiting
     * @param contextMicros the part of the estimate for computing or fetching context
     * @param note whether the target was chosen or is eligible, or why it is not eligible
     */
    record Candidate(String target, long estimateMicros, long waitMicros, long contextMicros, String note) {}
}
