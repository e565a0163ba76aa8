package org.rattanrudder.core.entry;

import java.util.List;
import java.util.Optional;
import org.rattanrudder.core.call.Header;
import org.rattanrudder.core.document.RequestClass;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.log.LogBatch;
import org.rattanrudder.core.log.LogStream;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.Refusal;

/** An action that an entry's state machine requests from the daemon. */
public sealed interface EntryEffect {
    /**
     * Start the answer to a caller.
     *
     * @param sequence the request
     * @param status the HTTP status
     * @param headers the headers
     */
    record BeginAnswer(long sequence, int status, List<Header> headers) implements EntryEffect {}

    /**
     * Send a chunk of the answer's body. The daemon reports {@link EntryEvent.ChunksWritten} once it is written.
     *
     * @param sequence the request
     * @param bytes the chunk
     */
    record SendChunk(long sequence, byte[] bytes) implements EntryEffect {}

    /**
     * End a complete answer.
     *
     * @param sequence the request
     */
    record EndAnswer(long sequence) implements EntryEffect {}

    /**
     * Answer a request with an error immediately. If the answer had already started, the connection is aborted so that
     * the caller can't mistake a truncated answer for a complete one; a streamed answer gets an error event first.
     *
     * @param sequence the request
     * @param refusal the error
     */
    record Refuse(long sequence, Refusal refusal) implements EntryEffect {}

    /**
     * Open a link to a companion. A LinkOpened or LinkClosed event always follows. An older link is closed first.
     *
     * @param companion its address
     */
    record OpenLink(Address companion) implements EntryEffect {}

    /**
     * Close the link to a companion, if there is one; no event follows.
     *
     * @param companion its address
     */
    record CloseLink(Address companion) implements EntryEffect {}

    /**
     * Send a frame on the link to a companion; the frame is dropped if there is no link.
     *
     * @param companion its address
     * @param frame the frame
     */
    record SendFrame(Address companion, Frame frame) implements EntryEffect {}

    /**
     * Append a batch to the log. An AppendSettled event follows.
     *
     * @param stream the stream
     * @param batch the batch
     */
    record Append(LogStream stream, LogBatch batch) implements EntryEffect {}

    /**
     * Reply to an operator.
     *
     * @param handle identifies the operator's connection
     * @param reply the answer
     */
    record ReplyToOperator(long handle, OperatorReply reply) implements EntryEffect {}

    /**
     * Record an ended request in logs, metrics and the burn report.
     *
     * @param summary the summary of the request
     * @param requestClass its class, which has the objective; empty if it was refused before the class was known
     */
    record RequestEnded(RequestSummary summary, Optional<RequestClass> requestClass) implements EntryEffect {}

    /**
     * Write an event to the process log.
     *
     * @param event the event's fixed name, such as {@code companion_linked}
     * @param fields alternating keys and values
     */
    record LogEvent(String event, List<String> fields) implements EntryEffect {}

    /** Draining is complete: no request is in flight and none will be accepted, so the process may exit. */
    record Drained() implements EntryEffect {}
}
