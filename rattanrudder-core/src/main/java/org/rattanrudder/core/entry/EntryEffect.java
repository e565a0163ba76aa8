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

/** What an entry's machine asks the daemon to do. */
public sealed interface EntryEffect {
    /**
     * Begin the answer to a caller.
     *
     * @param sequence the request
     * @param status the HTTP status
     * @param headers the headers
     */
    record BeginAnswer(long sequence, int status, List<Header> headers) implements EntryEffect {}

    /**
     * Send a part of the answer's body. The daemon says {@link EntryEvent.ChunksWritten} when the connection took it.
     *
     * @param sequence the request
     * @param bytes the part
     */
    record SendChunk(long sequence, byte[] bytes) implements EntryEffect {}

    /**
     * The answer is whole: end it.
     *
     * @param sequence the request
     */
    record EndAnswer(long sequence) implements EntryEffect {}

    /**
     * The final answer is an error: at once. If the answer had begun, the connection is broken off so that the caller
     * can't take a part for the whole; a streamed answer gets an error event first.
     *
     * @param sequence the request
     * @param refusal the error
     */
    record Refuse(long sequence, Refusal refusal) implements EntryEffect {}

    /**
     * Open a link to a companion; always answered by LinkOpened or LinkClosed. An older link to it is closed first.
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
     * Send a frame on the link to a companion; lost if there is none.
     *
     * @param companion its address
     * @param frame the frame
     */
    record SendFrame(Address companion, Frame frame) implements EntryEffect {}

    /**
     * Append a batch to the log; answered by AppendSettled.
     *
     * @param stream the stream
     * @param batch the batch
     */
    record Append(LogStream stream, LogBatch batch) implements EntryEffect {}

    /**
     * Answer an operator.
     *
     * @param handle the operator's connection
     * @param reply the answer
     */
    record ReplyToOperator(long handle, OperatorReply reply) implements EntryEffect {}

    /**
     * A request has ended: for logs, metrics and the burn report.
     *
     * @param summary what is worth knowing about it
     * @param requestClass its request class, which says what counts as good; empty if it was refused before that was
     * known
     */
    record RequestEnded(RequestSummary summary, Optional<RequestClass> requestClass) implements EntryEffect {}

    /**
     * Something that an operator may want to see in the log.
     *
     * @param event a fixed word for it, such as {@code companion_lost}
     * @param fields key, value, key, value and so on
     */
    record LogEvent(String event, List<String> fields) implements EntryEffect {}

    /** Nothing runs any more and none will be taken: the process may end. */
    record Drained() implements EntryEffect {}
}
