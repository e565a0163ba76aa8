package org.rattanrudder.daemon.relay.streams;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.rattanrudder.core.gateway.EventStreamScanner;

/**
 * Splits an event stream at event boundaries, so that another target can resume it after the last complete event.
 *
 * <p>A target may fail in the middle of an event. If the partial event were forwarded, the resumed stream couldn't be
 * joined to it: the caller would receive a duplicate or an event mixed from two.
 */
public final class EventFramer {
    /** A longer event is forwarded before it is complete, and the stream can't be resumed until it is. */
    static final int MAX_EVENT_BYTES = 256 * 1024;

    private final EventStreamScanner scanner;
    /** Replaced once it is taken: a reset would keep the array that has grown. */
    private ByteArrayOutputStream pending = new ByteArrayOutputStream();

    private boolean partialForwarded;
    private int scanned;
    private int complete;

    /** Creates a framer of a stream that the scanner follows. */
    public EventFramer(EventStreamScanner scanner) {
        this.scanner = scanner;
    }

    /** Appends bytes of the stream and returns what can be forwarded now: complete events, or a part of a long one. */
    public byte[] append(ByteBuf chunk) {
        scanned = 0;
        complete = 0;
        chunk.forEachByte(this::scan);
        int incomplete = chunk.readableBytes() - complete + (complete > 0 ? 0 : pending.size());
        if (incomplete > MAX_EVENT_BYTES || partialForwarded && complete == 0) {
            complete = chunk.readableBytes();
        }
        if (complete > 0) {
            partialForwarded = complete == chunk.readableBytes() && scanner.isWithinEvent();
        }
        return take(chunk);
    }

    private boolean scan(byte value) {
        scanner.accept(value);
        scanned++;
        if (!scanner.isWithinEvent()) {
            complete = scanned;
        }
        return true;
    }

    /** Returns the pending bytes and the ready part of a chunk, and keeps the rest of it. */
    private byte[] take(ByteBuf chunk) {
        byte[] ready = ByteBufUtil.getBytes(chunk, chunk.readerIndex(), complete);
        if (complete > 0 && pending.size() > 0) {
            pending.writeBytes(ready);
            ready = pending.toByteArray();
            pending = new ByteArrayOutputStream();
        }
        if (complete < chunk.readableBytes()) {
            pending.writeBytes(
                    ByteBufUtil.getBytes(chunk, chunk.readerIndex() + complete, chunk.readableBytes() - complete));
        }
        return ready;
    }

    /** Returns how many bytes of an incomplete event are kept. */
    public int pendingBytes() {
        return pending.size();
    }

    /** Takes what is kept of an incomplete event, to forward it: the stream can't be resumed until it is complete. */
    public byte[] takePending() {
        byte[] ready = pending.toByteArray();
        pending = new ByteArrayOutputStream();
        partialForwarded = true;
        return ready;
    }

    /** Discards an incomplete event; another response may continue the stream. */
    public void restart() {
        pending = new ByteArrayOutputStream();
        scanner.restart();
    }

    /** Returns whether an event of the current response was forwarded, or a part of one. */
    public boolean hasForwardedEvent() {
        return partialForwarded || scanner.hasEvents();
    }

    /** Returns whether another response can continue after what was forwarded. */
    public boolean isResumable() {
        return !partialForwarded && scanner.isResumable();
    }

    /** Returns the ID of the last complete event that has one; empty before the first. */
    public Optional<String> lastId() {
        return scanner.lastId();
    }
}
