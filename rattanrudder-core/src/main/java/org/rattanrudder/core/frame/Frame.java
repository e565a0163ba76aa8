package org.rattanrudder.core.frame;

import java.util.List;
import java.util.Optional;
import org.rattanrudder.core.call.Call;
import org.rattanrudder.core.call.Header;
import org.rattanrudder.core.call.PromptShape;
import org.rattanrudder.core.call.Usage;
import org.rattanrudder.core.log.LogRecord;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.CustomerName;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.core.model.InstanceName;
import org.rattanrudder.core.model.Refusal;
import org.rattanrudder.core.model.ServiceName;
import org.rattanrudder.core.model.TargetName;

/** One message on a link between an entry and a companion. The entry opens the link. */
public sealed interface Frame {

    /** A frame that belongs to one attempt. */
    sealed interface AttemptFrame extends Frame {
        /** Returns the attempt that it belongs to. */
        AttemptId attempt();
    }

    /**
     * The first frame on a link, sent by both ends.
     *
     * @param instance who speaks
     * @param incarnation drawn anew at each start of the process; never 0
     * @param failureDomain where it stands
     * @param release the release of the speaker, for rolling upgrades
     */
    record Hello(InstanceName instance, long incarnation, String failureDomain, String release) implements Frame {}

    /**
     * Sent at least each second by both ends, so that a connection which went silent shows.
     *
     * @param incarnation the sender's incarnation
     * @param sequence counts up by one on each link
     * @param targets the state of the companion's targets; empty from an entry
     * @param revisions the document revision in force at the sender, for each service that it knows
     * @param entries how many entries the companion has heard of within the last heartbeats, so that each entry can
     *     take its part of a customer's rate; 0 from an entry
     * @param customers what the companion took on behalf of customers lately; empty from an entry
     */
    record Heartbeat(
            long incarnation,
            long sequence,
            List<TargetState> targets,
            List<ServiceRevision> revisions,
            int entries,
            List<CustomerCount> customers)
            implements Frame {
        /** Copies the lists. */
        public Heartbeat {
            targets = List.copyOf(targets);
            revisions = List.copyOf(revisions);
            customers = List.copyOf(customers);
        }

        /** Creates a heartbeat that says nothing of customers. */
        public Heartbeat(
                long incarnation,
                long sequence,
                List<TargetState> targets,
                List<ServiceRevision> revisions,
                int entries) {
            this(incarnation, sequence, targets, revisions, entries, List.of());
        }
    }

    /**
     * Entry to companion: run this attempt at most once.
     *
     * @param attempt the attempt
     * @param companionIncarnation whom it is addressed to; another incarnation refuses it
     * @param target the target to run it on
     * @param service its service
     * @param customer on whose behalf
     * @param requestClass the name of its class
     * @param priority 0 goes first
     * @param deadlineMicros time left until the first byte is due, in microseconds
     * @param weightVersion the weight version it was admitted for; empty for plain calls
     * @param idempotencyKey the caller's key
     * @param idempotent whether a repeat does no harm
     * @param call the call
     * @param prompt its shape
     */
    record Dispatch(
            AttemptId attempt,
            long companionIncarnation,
            TargetName target,
            ServiceName service,
            CustomerName customer,
            String requestClass,
            int priority,
            long deadlineMicros,
            String weightVersion,
            Optional<String> idempotencyKey,
            boolean idempotent,
            Call call,
            PromptShape prompt)
            implements AttemptFrame {}

    /**
     * Entry to companion: the caller is gone or another attempt took over; stop it.
     *
     * @param attempt the attempt
     */
    record Cancel(AttemptId attempt) implements AttemptFrame {}

    /**
     * Entry to companion: send the answer from this chunk on again, its head first. The window begins anew: as many
     * chunks from this one on may be sent as at the start of an attempt, and earlier credit no longer counts. A
     * companion that never had the attempt answers NotRun and leaves a tombstone for a late dispatch.
     *
     * @param attempt the attempt
     * @param companionIncarnation who ran it
     * @param nextChunk the number of the first chunk that hasn't arrived
     */
    record Resume(AttemptId attempt, long companionIncarnation, long nextChunk) implements AttemptFrame {}

    /**
     * Entry to companion: the caller took this many chunks, so as many more may be sent. An attempt starts with a
     * window of {@link org.rattanrudder.core.companion.CompanionEffect#INITIAL_WINDOW_CHUNKS}.
     *
     * @param attempt the attempt
     * @param chunks the number of chunks
     */
    record Credit(AttemptId attempt, int chunks) implements AttemptFrame {}

    /**
     * Companion to entry: the attempt waits or runs.
     *
     * @param attempt the attempt
     */
    record Accepted(AttemptId attempt) implements AttemptFrame {}

    /**
     * Companion to entry: the attempt has not run here and never will.
     *
     * @param attempt the attempt
     * @param refusal why, and when to come back
     * @param waitMicros the target's present queue wait
     */
    record NotRun(AttemptId attempt, Refusal refusal, long waitMicros) implements AttemptFrame {}

    /**
     * Companion to entry: status and headers of the answer.
     *
     * @param attempt the attempt
     * @param status the HTTP status
     * @param headers the headers to pass on
     */
    record AnswerHead(AttemptId attempt, int status, List<Header> headers) implements AttemptFrame {
        /** Copies the headers. */
        public AnswerHead {
            headers = List.copyOf(headers);
        }
    }

    /**
     * Companion to entry: a part of the answer's body.
     *
     * @param attempt the attempt
     * @param number counts up from 0
     * @param bytes the part; shared, never written to
     */
    record AnswerChunk(AttemptId attempt, long number, byte[] bytes) implements AttemptFrame {}

    /**
     * Companion to entry: the answer is whole.
     *
     * @param attempt the attempt
     * @param chunks how many chunks it has
     * @param usage what it cost
     */
    record AnswerEnd(AttemptId attempt, long chunks, Usage usage) implements AttemptFrame {}

    /**
     * Companion to entry: no whole answer will come, and the attempt may have run.
     *
     * @param attempt the attempt
     * @param refusal why
     */
    record AnswerFailed(AttemptId attempt, Refusal refusal) implements AttemptFrame {}

    /**
     * Either way: send the configuration records that you hold, since the log can't be read.
     *
     * @param fromOffset the first offset that the asker lacks
     */
    record ConfigurationRequest(long fromOffset) implements Frame {}

    /**
     * Either way: configuration records as read from the log.
     *
     * @param records in the order of their offsets
     */
    record ConfigurationRecords(List<LogRecord> records) implements Frame {
        /** Copies the list. */
        public ConfigurationRecords {
            records = List.copyOf(records);
        }
    }

    /** Either way: the sender leaves; it takes no new attempts and finishes those it has. */
    record Leaving() implements Frame {}

    /**
     * The state of one target as its companion sees it.
     *
     * @param target the target
     * @param accepting whether new attempts are taken
     * @param running attempts at the target
     * @param queued attempts that wait at the companion
     * @param waitMicros the wait that a new attempt of middle priority would see, in microseconds
     * @param weightVersion the version that the engine reports as active; empty for plain services
     * @param prefillTokensPerSecond measured speed of computing context; 0 if not yet known
     * @param fetchBytesPerSecond measured speed of fetching context; 0 if not yet known
     */
    record TargetState(
            TargetName target,
            boolean accepting,
            int running,
            int queued,
            long waitMicros,
            String weightVersion,
            long prefillTokensPerSecond,
            long fetchBytesPerSecond) {}

    /**
     * A document revision in force.
     *
     * @param service the service
     * @param revision the log offset of its record
     */
    record ServiceRevision(ServiceName service, long revision) {}

    /**
     * How many attempts a companion has taken on behalf of one customer of one service, from all entries.
     *
     * @param customer the customer's and the service's name as a hash, as {@link #customerHash} gives it
     * @param taken the number of attempts since the companion started
     */
    record CustomerCount(long customer, long taken) {}

    /** Returns the hash under which a companion counts a customer of a service. */
    static long customerHash(ServiceName service, CustomerName customer) {
        return Digest.of(service.value(), customer.value()).first();
    }
}
