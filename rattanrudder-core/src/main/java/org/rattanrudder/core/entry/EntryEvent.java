package org.rattanrudder.core.entry;

import java.util.List;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.log.AppendResult;
import org.rattanrudder.core.log.LogRecord;
import org.rattanrudder.core.log.LogStream;
import org.rattanrudder.core.model.Address;

/** What happens to an entry. A caller's connection is named by the sequence that the daemon gave its request. */
public sealed interface EntryEvent {
    /**
     * A caller's request has arrived whole.
     *
     * @param sequence names the request at this entry; counts up from 1
     * @param request the request
     */
    record RequestArrived(long sequence, CallerRequest request) implements EntryEvent {}

    /**
     * The caller's connection took chunks that were answered.
     *
     * @param sequence the request
     * @param chunks how many
     */
    record ChunksWritten(long sequence, int chunks) implements EntryEvent {}

    /**
     * The caller's connection is gone.
     *
     * @param sequence the request
     */
    record CallerDisconnected(long sequence) implements EntryEvent {}

    /**
     * A link to a companion is up and its hello has arrived.
     *
     * @param companion the companion's address
     * @param hello what it said
     */
    record LinkOpened(Address companion, Frame.Hello hello) implements EntryEvent {}

    /**
     * A link is gone, or couldn't be opened. The machine asks for another.
     *
     * @param companion the companion's address
     */
    record LinkClosed(Address companion) implements EntryEvent {}

    /**
     * A frame has arrived on a link.
     *
     * @param companion the companion's address
     * @param frame the frame
     */
    record FrameArrived(Address companion, Frame frame) implements EntryEvent {}

    /**
     * Records have been read from the log, in order and without gaps but for what retention dropped.
     *
     * @param stream the stream
     * @param records the records
     * @param caughtUp whether the reader has reached the log's end
     */
    record LogRead(LogStream stream, List<LogRecord> records, boolean caughtUp) implements EntryEvent {}

    /**
     * The log couldn't be read.
     *
     * @param stream the stream
     */
    record LogReadFailed(LogStream stream) implements EntryEvent {}

    /**
     * The log answered an append, or didn't.
     *
     * @param stream the stream
     * @param sequence the batch's sequence
     * @param result the answer
     */
    record AppendSettled(LogStream stream, long sequence, AppendResult result) implements EntryEvent {}

    /**
     * The platform's lagging list of instances.
     *
     * @param instances what it says now
     */
    record InstancesListed(List<ListedInstance> instances) implements EntryEvent {}

    /**
     * An operator asks or orders.
     *
     * @param handle names the operator's connection
     * @param call what is asked
     */
    record OperatorCalled(long handle, OperatorCall call) implements EntryEvent {}

    /** Time has passed; about every 50 ms. */
    record Tick() implements EntryEvent {}

    /** The process has been asked to stop. */
    record DrainRequested() implements EntryEvent {}

    /**
     * One line of the platform's list.
     *
     * @param address the instance's address: a target's
     * @param leaving whether it is about to leave
     */
    record ListedInstance(Address address, boolean leaving) {}
}
