package org.rattanrudder.core.entry;

import java.util.List;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.log.AppendResult;
import org.rattanrudder.core.log.LogRecord;
import org.rattanrudder.core.log.LogStream;
import org.rattanrudder.core.model.Address;

/** An input of an entry's state machine. Callers are identified by the sequence number of their request. */
public sealed interface EntryEvent {
    /**
     * A caller's request was received completely.
     *
     * @param sequence identifies the request at this entry; counts up from 1
     * @param request the request
     */
    record RequestArrived(long sequence, CallerRequest request) implements EntryEvent {}

    /**
     * Chunks of an answer were written to the caller's connection.
     *
     * @param sequence the request
     * @param chunks the number of chunks
     */
    record ChunksWritten(long sequence, int chunks) implements EntryEvent {}

    /**
     * The caller's connection was closed.
     *
     * @param sequence the request
     */
    record CallerDisconnected(long sequence) implements EntryEvent {}

    /**
     * A link to a companion is open and its hello was received.
     *
     * @param companion the companion's address
     * @param hello the hello
     */
    record LinkOpened(Address companion, Frame.Hello hello) implements EntryEvent {}

    /**
     * A link was lost or couldn't be opened. The state machine requests a new one when it needs it.
     *
     * @param companion the companion's address
     */
    record LinkClosed(Address companion) implements EntryEvent {}

    /**
     * A frame was received on a link.
     *
     * @param companion the companion's address
     * @param frame the frame
     */
    record FrameArrived(Address companion, Frame frame) implements EntryEvent {}

    /**
     * Records were read from the log, in order and without gaps except for records that retention dropped.
     *
     * @param stream the stream
     * @param records the records
     * @param caughtUp whether the reader has reached the log's end
     */
    record LogRead(LogStream stream, List<LogRecord> records, boolean caughtUp) implements EntryEvent {}

    /**
     * Reading the log failed.
     *
     * @param stream the stream
     */
    record LogReadFailed(LogStream stream) implements EntryEvent {}

    /**
     * An append to the log was answered or its answer was lost.
     *
     * @param stream the stream
     * @param sequence the batch's sequence
     * @param result the outcome
     */
    record AppendSettled(LogStream stream, long sequence, AppendResult result) implements EntryEvent {}

    /**
     * The platform's list of instances was read; it may be out of date.
     *
     * @param instances the listed instances
     */
    record InstancesListed(List<ListedInstance> instances) implements EntryEvent {}

    /**
     * An operator sent a call.
     *
     * @param handle identifies the operator's connection
     * @param call the call
     */
    record OperatorCalled(long handle, OperatorCall call) implements EntryEvent {}

    /** A timer tick, about every 50 ms. */
    record Tick() implements EntryEvent {}

    /**
     * The process was asked to stop.
     *
     * @param graceMillis after which time it ends at the latest
     */
    record DrainRequested(long graceMillis) implements EntryEvent {}

    /**
     * The process is about to end: whoever still waits gets a last answer.
     *
     * @param alsoBegun whether answers that have begun are broken off, too
     */
    record GraceEnding(boolean alsoBegun) implements EntryEvent {}

    /**
     * One instance of the platform's list.
     *
     * @param address the address of the instance, which is a target's
     * @param leaving whether the instance is about to leave
     */
    record ListedInstance(Address address, boolean leaving) {}
}
