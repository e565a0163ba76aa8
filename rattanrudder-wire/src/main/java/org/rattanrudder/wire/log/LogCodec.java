package org.rattanrudder.wire.log;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.rattanrudder.core.log.LogBatch;
import org.rattanrudder.core.log.LogEntry;
import org.rattanrudder.wire.generated.LogMessages.LogBatchMessage;
import org.rattanrudder.wire.generated.LogMessages.LogEntryMessage;

/** Turns log batches into bytes and back. */
public final class LogCodec {
    private LogCodec() {}

    /** Returns the bytes of a batch, as they go into one append. */
    public static byte[] encode(LogBatch batch) {
        return toMessage(batch).toByteArray();
    }

    /**
     * Reads a batch back. Entries of a kind that this release doesn't know, or whose names it can't read, are left out.
     *
     * @return empty if the bytes are no batch at all
     */
    public static Optional<LogBatch> decode(byte[] bytes) {
        try {
            return Optional.of(fromMessage(LogBatchMessage.parseFrom(bytes)));
        } catch (InvalidProtocolBufferException malformed) {
            return Optional.empty();
        }
    }

    /** Returns the message of a batch, for use within a larger message. */
    public static LogBatchMessage toMessage(LogBatch batch) {
        LogBatchMessage.Builder message =
                LogBatchMessage.newBuilder().setWriter(batch.writer()).setSequence(batch.sequence());
        batch.entries().forEach(entry -> message.addEntries(LogEntryWriter.message(entry)));
        return message.build();
    }

    /** Reads a batch from its message; entries that this release can't read are left out. */
    public static LogBatch fromMessage(LogBatchMessage message) {
        List<LogEntry> entries = new ArrayList<>(message.getEntriesCount());
        for (LogEntryMessage entry : message.getEntriesList()) {
            LogEntryReader.entry(entry).ifPresent(entries::add);
        }
        return new LogBatch(message.getWriter(), message.getSequence(), entries);
    }
}
