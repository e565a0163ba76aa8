package org.rattanrudder.core.companion;

import java.util.List;
import org.rattanrudder.core.call.Header;
import org.rattanrudder.core.call.Usage;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.log.AppendResult;
import org.rattanrudder.core.log.LogRecord;
import org.rattanrudder.core.log.LogStream;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.core.model.TargetName;

/** Events that a companion handles. */
public sealed interface CompanionEvent {
    /**
     * An entry has opened a link and sent its hello.
     *
     * @param link the number of the link; never reused after it closes
     * @param hello the frame that it sent
     */
    record LinkOpened(long link, Frame.Hello hello) implements CompanionEvent {}

    /**
     * A link was closed.
     *
     * @param link the link
     */
    record LinkClosed(long link) implements CompanionEvent {}

    /**
     * A frame has arrived.
     *
     * @param link the link
     * @param frame the frame
     */
    record FrameArrived(long link, Frame frame) implements CompanionEvent {}

    /**
     * The head of the target's answer has arrived.
     *
     * @param attempt the attempt
     * @param status the HTTP status
     * @param headers the headers
     */
    record TargetAnswerStarted(AttemptId attempt, int status, List<Header> headers) implements CompanionEvent {}

    /**
     * A chunk of the target's answer: for an engine one server-sent event, for a plain service any part of the body.
     *
     * @param attempt the attempt
     * @param bytes the content of the chunk
     * @param weightVersion the weight version that the engine names for it; empty for plain services
     */
    record TargetChunk(AttemptId attempt, byte[] bytes, String weightVersion) implements CompanionEvent {}

    /**
     * The target's answer is complete.
     *
     * @param attempt the attempt
     * @param usage the usage that the engine reports; {@link Usage#NONE} for plain services
     */
    record TargetAnswerEnded(AttemptId attempt, Usage usage) implements CompanionEvent {}

    /**
     * The call failed before its answer was complete.
     *
     * @param attempt the attempt
     * @param nothingSent whether no byte of the request can have reached the target
     * @param detail a one-line description for operators
     */
    record TargetFailed(AttemptId attempt, boolean nothingSent, String detail) implements CompanionEvent {}

    /**
     * A load report of a target has arrived. It lags behind the actual load.
     *
     * @param target the target
     * @param load the report
     */
    record LoadReported(TargetName target, TargetLoad load) implements CompanionEvent {}

    /**
     * A target didn't answer a load request.
     *
     * @param target the target
     */
    record LoadReportMissed(TargetName target) implements CompanionEvent {}

    /**
     * Cache events of an engine have arrived, possibly late and with gaps.
     *
     * @param target the target
     * @param gap whether events are missing before these
     * @param events the events, in order
     */
    record CacheEventsReported(TargetName target, boolean gap, List<CacheEvent> events) implements CompanionEvent {}

    /**
     * A lookup of committed blocks in a store has ended.
     *
     * @param lookup the number of the lookup
     * @param found the blocks that the store has committed; also empty if it didn't answer
     * @param answered whether the store answered
     */
    record BlockLookupEnded(long lookup, List<StoredBlock> found, boolean answered) implements CompanionEvent {}

    /**
     * The move of a block has ended.
     *
     * @param move the number of the move
     * @param outcome how it ended
     * @param bytes number of transferred bytes
     */
    record MoveEnded(long move, MoveOutcome outcome, long bytes) implements CompanionEvent {}

    /**
     * An order, or a query of the last order, has ended with or without an answer of the target.
     *
     * @param target the target
     * @param fencing the order's fencing number
     * @param outcome the outcome of the order
     */
    record OrderAnswered(TargetName target, long fencing, OrderOutcome outcome) implements CompanionEvent {}

    /**
     * Records have been read from the log, in order and without gaps other than records dropped by retention.
     *
     * @param stream the stream
     * @param records the records
     * @param caughtUp whether the reader has reached the end of the log
     */
    record LogRead(LogStream stream, List<LogRecord> records, boolean caughtUp) implements CompanionEvent {}

    /**
     * The log couldn't be read.
     *
     * @param stream the stream
     */
    record LogReadFailed(LogStream stream) implements CompanionEvent {}

    /**
     * An append to the log has ended with or without an answer.
     *
     * @param stream the stream
     * @param sequence the sequence number of the batch
     * @param result the result
     */
    record AppendSettled(LogStream stream, long sequence, AppendResult result) implements CompanionEvent {}

    /** Periodic event, about every 50 ms. */
    record Tick() implements CompanionEvent {}

    /** The process has been asked to stop. */
    record DrainRequested() implements CompanionEvent {}

    /**
     * The load of a target.
     *
     * @param running number of running requests
     * @param waiting number of requests that wait inside the target
     * @param weightVersion the active weight version; empty for plain services
     * @param ageMillis age of the report in milliseconds, according to the target
     */
    record TargetLoad(int running, int waiting, String weightVersion, long ageMillis) {}

    /**
     * A change in an engine's prefix cache.
     *
     * @param block the block's name
     * @param stored true if it was stored, false if it was freed
     */
    record CacheEvent(Digest block, boolean stored) {}

    /**
     * A committed block in a store.
     *
     * @param block the block's name
     * @param incarnation the store's incarnation
     * @param generation the generation of its write
     * @param bytes its length in bytes
     * @param content the SHA-256 digest of its content
     */
    record StoredBlock(Digest block, long incarnation, long generation, long bytes, Digest content) {}

    /** How a move of a block ended. */
    enum MoveOutcome {
        /** The block has arrived and been verified. */
        DONE,
        /** The source no longer has the block, or not as described. */
        GONE,
        /** The destination is full. */
        FULL,
        /** The content didn't match its digest or generation and was dropped. */
        CORRUPT,
        /** The source or the destination didn't answer. */
        UNREACHABLE
    }

    /** How an order ended. */
    enum OrderOutcome {
        /** The target has reached the desired state. */
        DONE,
        /** The target has started and will reach the desired state. */
        STARTED,
        /** The target refused the order because of its old fencing number. */
        FENCED,
        /** The target refused the order for another reason. */
        REFUSED,
        /** There was no answer: the order may or may not have taken effect. */
        LOST
    }
}
