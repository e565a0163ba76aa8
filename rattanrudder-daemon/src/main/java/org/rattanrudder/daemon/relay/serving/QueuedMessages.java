package org.rattanrudder.daemon.relay.serving;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import org.rattanrudder.core.memory.Holding;

/** The parts of requests that arrived on a connection while an earlier one is served or waits for its turn. */
final class QueuedMessages {
    /** Number and bytes of messages above which the connection is read no further. */
    private static final int FULL_MESSAGES = 64;

    private static final int FULL_BYTES = 64 * 1_024;

    private final Deque<Object> messages = new ArrayDeque<>();
    private final Holding holding;

    /** Creates an empty queue; {@code holding} takes the bytes of the messages. */
    QueuedMessages(Holding holding) {
        this.holding = holding;
    }

    /** Adds a message, which it owns from now on, unless there is no room for it; then it is released. */
    boolean tryAdd(Object message) {
        Object compact = compact(message);
        if (!holding.tryGrow(bytes(compact))) {
            ReferenceCountUtil.release(compact);
            return false;
        }
        messages.add(compact);
        return true;
    }

    /** Returns a message in front of the others to the queue; the same as {@link #tryAdd} otherwise. */
    boolean tryReturn(Object message) {
        if (!tryAdd(message)) {
            return false;
        }
        messages.addFirst(messages.removeLast());
        return true;
    }

    /** A small part of what was read would keep the whole buffer into which it was read. */
    private static Object compact(Object message) {
        if (message instanceof HttpContent content && content.content().isReadable()) {
            HttpContent copy = content.replace(Unpooled.copiedBuffer(content.content()));
            content.release();
            return copy;
        }
        return message;
    }

    private static long bytes(Object message) {
        long bytes = message instanceof HttpRequest head ? HeadSize.of(head) : 0;
        if (message instanceof HttpContent content) {
            ByteBuf part = content.content();
            bytes += part.readableBytes();
        }
        return bytes;
    }

    /** Takes the next message, which the caller of this method releases. */
    Object poll() {
        Object next = messages.poll();
        holding.shrinkTo(holding.bytes() - bytes(next));
        return next;
    }

    boolean isEmpty() {
        return messages.isEmpty();
    }

    /** Returns whether the connection should be read no further for now. */
    boolean isFull() {
        return messages.size() > FULL_MESSAGES || holding.bytes() > FULL_BYTES;
    }

    /** Drops all messages. */
    void clear() {
        messages.forEach(ReferenceCountUtil::release);
        messages.clear();
        holding.shrinkTo(0);
    }
}
