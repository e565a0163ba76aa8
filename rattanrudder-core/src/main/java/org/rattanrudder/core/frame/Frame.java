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
     * @param instance the name of the sender
     * @param incarnation a random number drawn at each start of the process; never 0
     * @param failureDomain the sender's failure domain
     * @param release the sender's release, for rolling upgrades
     */
    record Hello(InstanceName instance, long incarnation, String failureDomain, String release) implements Frame {}

    /**
     * Sent at least once a second by both ends, so that an idle connection that has failed is detected.
     *
     * @param incarnation the sender's incarnation
     * @param sequence increases by one with each heartbeat on a link
     * @param targets the state of the companion's targets; empty from an entry
     * @param revisions the revision of each document in force at the sender
     * @param entries the number of entries with a live link to the companion, by which each entry works out its share
     *     of a customer's rate limit; 0 from an entry
     * @param customers the attempt counts of the customers that were active at the companion recently; empty from an
     *     entry
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

        /** Creates a heartbeat without customer counts. */
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
     * @param companionIncarnation the companion's incarnation that it is addressed to; any other refuses it
     * @param target the target to run it on
     * @param service the service of the target
     * @param customer the customer that sent the request
     * @param requestClass the name of the request class
     * @param priority the priority; 0 is the highest
     * @param deadlineMicros time left until the first byte is due, in microseconds
     * @param weightVersion the weight version for which the request was admitted; empty for plain calls
     * @param idempotencyKey the caller's key
     * @param idempotent whether a retry is safe
     * @param call the call
     * @param prompt the shape of the prompt
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
     * Entry to companion: stop the attempt, because the caller disconnected or another attempt replaced it.
     *
     * @param attempt the attempt
     */
    record Cancel(AttemptId attempt) implements AttemptFrame {}

    /**
     * Entry to companion: send the answer again, first its head and then the chunks from the given one on. The flow
     * control window is reset: as many chunks as at the start of an attempt may be sent, and earlier credit is
     * discarded. A companion that never received the attempt answers NotRun and keeps a tombstone, so that it refuses a
     * late dispatch.
     *
     * @param attempt the attempt
     * @param companionIncarnation the incarnation of the companion that ran it
     * @param nextChunk the number of the first chunk that wasn't received
     */
    record Resume(AttemptId attempt, long companionIncarnation, long nextChunk) implements AttemptFrame {}

    /**
     * Entry to companion: the caller has received this many chunks, so the same number may be sent in addition. An
     * attempt starts with a window of {@link org.rattanrudder.core.companion.CompanionEffect#INITIAL_WINDOW_CHUNKS}.
     *
     * @param attempt the attempt
     * @param chunks the number of chunks
     */
    record Credit(AttemptId attempt, int chunks) implements AttemptFrame {}

    /**
     * Companion to entry: the attempt is queued or running.
     *
     * @param attempt the attempt
     */
    record Accepted(AttemptId attempt) implements AttemptFrame {}

    /**
     * Companion to entry: the attempt has not run at this companion and never will.
     *
     * @param attempt the attempt
     * @param refusal the reason and the retry-after time
     * @param waitMicros the current queue wait of the target
     */
    record NotRun(AttemptId attempt, Refusal refusal, long waitMicros) implements AttemptFrame {}

    /**
     * Companion to entry: status and headers of the answer.
     *
     * @param attempt the attempt
     * @param status the HTTP status
     * @param headers the headers to forward
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
     * @param bytes the content; shared, must not be modified
     */
    record AnswerChunk(AttemptId attempt, long number, byte[] bytes) implements AttemptFrame {}

    /**
     * Companion to entry: the answer is complete.
     *
     * @param attempt the attempt
     * @param chunks the number of its chunks
     * @param usage the tokens, bytes and queueing time that it used
     */
    record AnswerEnd(AttemptId attempt, long chunks, Usage usage) implements AttemptFrame {}

    /**
     * Companion to entry: there will be no complete answer, and the attempt may have run.
     *
     * @param attempt the attempt
     * @param refusal the reason
     */
    record AnswerFailed(AttemptId attempt, Refusal refusal) implements AttemptFrame {}

    /**
     * In both directions: requests the receiver's configuration records, since the sender can't read the log.
     *
     * @param fromOffset the first offset that the sender lacks
     */
    record ConfigurationRequest(long fromOffset) implements Frame {}

    /**
     * In both directions: configuration records as in the log.
     *
     * @param records in the order of their offsets
     */
    record ConfigurationRecords(List<LogRecord> records) implements Frame {
        /** Copies the list. */
        public ConfigurationRecords {
            records = List.copyOf(records);
        }
    }

    /** In both directions: the sender is draining; it accepts no new attempts and completes those it has. */
    record Leaving() implements Frame {}

    /**
     * The state of one target as reported by its companion.
     *
     * @param target the target
     * @param accepting whether new attempts are accepted
     * @param running the number of attempts running at the target
     * @param queued the number of attempts queued at the companion
     * @param waitMicros the expected queue wait of a new attempt of medium priority, in microseconds
     * @param weightVersion the version that the engine reports as active; empty for plain services
     * @param prefillTokensPerSecond the measured rate of computing context; 0 if unknown
     * @param fetchBytesPerSecond the measured rate of fetching context; 0 if unknown
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
     * @param revision the log offset of its edit
     */
    record ServiceRevision(ServiceName service, long revision) {}

    /**
     * The number of attempts that a companion has accepted for one customer of one service, from all entries.
     *
     * @param customer the hash of the customer's and the service's name, as returned by {@link #customerHash}
     * @param taken the number of attempts accepted since the companion started
     */
    record CustomerCount(long customer, long taken) {}

    /** Returns the hash that identifies a customer of a service in customer counts. */
    static long customerHash(ServiceName service, CustomerName customer) {
        return Digest.of(service.value(), customer.value()).first();
    }
}
