package org.rattanrudder.core.log;

import java.util.List;
import org.rattanrudder.core.call.Header;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.core.model.InstanceName;
import org.rattanrudder.core.model.ServiceName;
import org.rattanrudder.core.model.TargetName;

/** One entry of a batch. */
public sealed interface LogEntry {

    /**
     * An operator's edit of a service's document. It is accepted only if its base is the revision in force at its
     * offset.
     *
     * @param service the service
     * @param baseRevision the revision that the operator edited; 0 for a new service
     * @param text the document as written
     */
    record DocumentEdit(ServiceName service, long baseRevision, String text) implements LogEntry {}

    /**
     * The document in force, appended again so that it outlives the log's retention. It has no effect on readers that
     * already have the revision.
     *
     * @param service the service
     * @param revision the offset of the edit whose text it repeats
     * @param text the document as written
     */
    record DocumentRefresh(ServiceName service, long revision, String text) implements LogEntry {}

    /**
     * The revisions of all services, from which a reader can start when the log has dropped older records. It is valid
     * only if it directly follows the record that it names: then no record came between those that its writer had read
     * and the index itself, so it is the exact state at its offset.
     *
     * @param previousOffset the offset of the last record that its writer had read; the index is valid only at the next
     *     offset
     * @param revisions the revision in force of every service that exists
     */
    record RevisionIndex(long previousOffset, List<Revision> revisions) implements LogEntry {
        /** Copies the list. */
        public RevisionIndex {
            revisions = List.copyOf(revisions);
        }
    }

    /**
     * A service's revision in an index.
     *
     * @param service the service
     * @param revision the offset of the edit that is in force
     */
    record Revision(ServiceName service, long revision) {}

    /**
     * A claim of the right to run the call of an idempotency key. The first claim of a key in the log's order is the
     * valid one.
     *
     * @param key the digest of service, customer and key
     * @param request the digest of the call, to distinguish a retry from another request with the same key
     * @param claimant the incarnation of the companion that will run it
     * @param service the service
     * @param readOffset the offset up to which the claimant had read the stream when it found the key unclaimed: any
     *     claim at or before that offset had expired, and this one replaces it
     */
    record KeyClaim(Digest key, Digest request, long claimant, ServiceName service, long readOffset)
            implements LogEntry {}

    /**
     * The answer of a claimed call, which is replayed to retries.
     *
     * @param key the digest of service, customer and key
     * @param status the HTTP status
     * @param headers the answer's headers
     * @param body the answer's body; shared, must not be modified
     */
    record KeyOutcome(Digest key, int status, List<Header> headers, byte[] body) implements LogEntry {
        /** Copies the headers. */
        public KeyOutcome {
            headers = List.copyOf(headers);
        }
    }

    /**
     * Releases a claim whose call has not run and never will, so that the next claim in the log's order is valid. Only
     * the claimant may release it: the writer of the batch must be the claimant.
     *
     * @param key the digest of service, customer and key
     */
    record KeyRelease(Digest key) implements LogEntry {}

    /**
     * Records that the claimed call may have run and that its answer will never be known, so that retries are refused
     * at once with that state. Only the claimant may write it.
     *
     * @param key the digest of service, customer and key
     */
    record KeyUnresolved(Digest key) implements LogEntry {}

    /**
     * Expires the keys of a service whose last claim is at or before an offset. The writer read that offset at least
     * the service's key retention ago, by its own clock. No timestamp in a record is trusted, and all readers expire a
     * key at the same offset of the log.
     *
     * @param service the service
     * @param upToOffset the last offset in the claims stream whose keys expire
     */
    record KeysExpired(ServiceName service, long upToOffset) implements LogEntry {}

    /**
     * Records that a companion of this name started, so that any earlier incarnation of the name no longer runs. The
     * writer of the batch is the new incarnation.
     *
     * @param instance the companion's name
     */
    record ClaimantStarted(InstanceName instance) implements LogEntry {}

    /**
     * A lease that allows its holder to send orders to a target. Its offset in the log is the fencing number.
     *
     * @param service the service
     * @param target the target
     * @param holder the incarnation of the companion
     * @param termMillis the term of the lease
     */
    record OrderLease(ServiceName service, TargetName target, long holder, long termMillis) implements LogEntry {}

    /**
     * A claim of one of the two weight loads that a service allows at once.
     *
     * @param service the service
     * @param target the target that will load weights
     * @param holder the incarnation of the companion
     * @param termMillis the maximum term of the claim
     */
    record LoadClaim(ServiceName service, TargetName target, long holder, long termMillis) implements LogEntry {}

    /**
     * Releases a claim to load weights.
     *
     * @param service the service
     * @param target the target
     * @param holder the incarnation of the companion
     */
    record LoadRelease(ServiceName service, TargetName target, long holder) implements LogEntry {}
}
