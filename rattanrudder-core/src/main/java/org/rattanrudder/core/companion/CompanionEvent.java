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

/** What happens to a companion. */
public sealed interface CompanionEvent {
    /**
     * An entry has opened a link and said hello.
     *
     * @param link names the link; never used again after it closes
     * @param hello what it said
     */
    record LinkOpened(long link, Frame.Hello hello) implements CompanionEvent {}

    /**
     * A link is gone.
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
     * The target began its answer.
     *
     * @param attempt the attempt
     * @param status the HTTP status
     * @param headers the headers
     */
    record TargetAnswerStarted(AttemptId attempt, int status, List<Header> headers) implements CompanionEvent {}

    /**
     * A part of the target's answer. For an engine one server-sent event, for a plain service any part of the body.
     *
     * @param attempt the attempt
     * @param bytes the part
     * @param weightVersion the version that the engine says made it; empty for plain services
     */
    record TargetChunk(AttemptId attempt, byte[] bytes, String weightVersion) implements CompanionEvent {}

    /**
     * The target's answer is whole.
     *
     * @param attempt the attempt
     * @param usage what the engine says it cost; {@link Usage#NONE} for plain services
     */
    record TargetAnswerEnded(AttemptId attempt, Usage usage) implements CompanionEvent {}

    /**
     * The call broke off.
     *
     * @param attempt the attempt
     * @param nothingSent whether no byte of the request can have reached the target
     * @param detail one line for people
     */
    record TargetFailed(AttemptId attempt, boolean nothingSent, String detail) implements CompanionEvent {}

    /**
     * A target's load report, which lags.
     *
     * @param target the target
     * @param load the report
     */
    record LoadReported(TargetName target, TargetLoad load) implements CompanionEvent {}

    /**
     * A target didn't answer when asked for its load.
     *
     * @param target the target
     */
    record LoadReportMissed(TargetName target) implements CompanionEvent {}

    /**
     * An engine's cache events, which come late and with gaps.
     *
     * @param target the target
     * @param gap whether events before these are missing
     * @param events the events, in order
     */
    record CacheEventsReported(TargetName target, boolean gap, List<CacheEvent> events) implements CompanionEvent {}

    /**
     * A store said which of the blocks asked for are committed there.
     *
     * @param lookup the number of the lookup
     * @param found the blocks that are there; empty also when the store didn't answer
     * @param answered whether the store answered
     */
    record BlockLookupEnded(long lookup, List<StoredBlock> found, boolean answered) implements CompanionEvent {}

    /**
     * A move of a block has ended.
     *
     * @param move the number of the move
     * @param outcome how
     * @param bytes bytes that went over the link
     */
    record MoveEnded(long move, MoveOutcome outcome, long bytes) implements CompanionEvent {}

    /**
     * An order was answered by its target, or not.
     *
     * @param target the target
     * @param fencing the order's fencing number
     * @param outcome the answer
     */
    record OrderAnswered(TargetName target, long fencing, OrderOutcome outcome) implements CompanionEvent {}

    /**
     * Records have been read from the log, in order and without gaps but for what retention dropped.
     *
     * @param stream the stream
     * @param records the records
     * @param caughtUp whether the reader has reached the log's end
     */
    record LogRead(LogStream stream, List<LogRecord> records, boolean caughtUp) implements CompanionEvent {}

    /**
     * The log couldn't be read.
     *
     * @param stream the stream
     */
    record LogReadFailed(LogStream stream) implements CompanionEvent {}

    /**
     * The log answered an append, or didn't.
     *
     * @param stream the stream
     * @param sequence the batch's sequence
     * @param result the answer
     */
    record AppendSettled(LogStream stream, long sequence, AppendResult result) implements CompanionEvent {}

    /** Time has passed; about every 50 ms. */
    record Tick() implements CompanionEvent {}

    /** The process has been asked to stop. */
    record DrainRequested() implements CompanionEvent {}

    /**
     * A target's load.
     *
     * @param running requests that it runs
     * @param waiting requests that wait inside it
     * @param weightVersion the active version; empty for plain services
     * @param ageMillis how old the report says it is
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
     * @param generation the write generation
     * @param bytes its length
     * @param content the SHA-256 digest of its content
     */
    record StoredBlock(Digest block, long incarnation, long generation, long bytes, Digest content) {}

    /** How a move of a block ended. */
    enum MoveOutcome {
        /** It is in place, checked. */
        DONE,
        /** The source no longer has it, or not as described. */
        GONE,
        /** The destination is full. */
        FULL,
        /** What arrived didn't match its digest or generation; it was dropped. */
        CORRUPT,
        /** A side didn't answer. */
        UNREACHABLE
    }

    /** How an order ended. */
    enum OrderOutcome {
        /** The target has reached the desired state. */
        DONE,
        /** The target has begun and will reach it. */
        STARTED,
        /** The target refused an old fencing number. */
        FENCED,
        /** The target refused for another reason. */
        REFUSED,
        /** No answer: it may or may not have taken effect. */
        LOST
    }
}
