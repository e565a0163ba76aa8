package org.rattanrudder.daemon.relay.serving;

import io.netty.buffer.ByteBuf;
import java.util.function.LongConsumer;
import org.rattanrudder.core.memory.ByteBudget;
import org.rattanrudder.core.memory.ByteUse;
import org.rattanrudder.core.memory.Holding;

/**
 * Collects the body of one request, within what the process may hold.
 *
 * <p>What is held for the request, its head included, is given back once nobody uses the body's buffer any more: a
 * target's connection may use it for longer than the request lasts.
 */
final class RequestBody {
    /** A body up to this size needs no turn among the large ones. */
    static final int SMALL_BYTES = ByteBudget.SMALL_REQUEST_BYTES;

    private final Holding small;
    private final Holding large;
    private final HeldBuffer buffer;
    private long grantedAt;

    /**
     * Creates an empty body.
     *
     * @param maxBytes the most that the body may have
     * @param whenLargeFreed is told when it had its turn among the large ones, once what was held is given back
     */
    RequestBody(ByteBudget budget, String caller, int maxBytes, LongConsumer whenLargeFreed) {
        small = budget.holding(ByteUse.REQUEST, caller);
        large = budget.holding(ByteUse.UPLOAD, caller);
        buffer = new HeldBuffer(maxBytes, () -> {
            small.close();
            boolean wasLarge = large.bytes() > 0;
            large.close();
            if (wasLarge) {
                whenLargeFreed.accept(grantedAt);
            }
        });
    }

    /** Takes room for the head; returns whether there was any. */
    boolean tryHoldHead(long headBytes) {
        return small.tryGrow(headBytes);
    }

    /** Returns what takes the room for a large body. */
    Holding largeHolding() {
        return large;
    }

    /** Makes room for a small body of a known length, in bytes; returns whether there was any. */
    boolean tryReserve(int length) {
        return length <= buffer.capacity() || tryGrowSmall(length);
    }

    /**
     * Records that a large body has had its turn.
     *
     * @param length its length in bytes; 0 if it isn't known
     */
    void onGranted(int length, long nowMillis) {
        grantedAt = nowMillis;
        buffer.capacity(Math.max(length, buffer.capacity()));
    }

    /** What became of a part of the body. */
    enum Appended {
        WHOLE,
        /** The body is no small one any more: it needs a turn among the large ones. */
        NEEDS_TURN,
        NO_ROOM,
        OVER_LIMIT
    }

    /** Appends a part of the body, or none of it. */
    Appended append(ByteBuf part) {
        long needed = buffer.readableBytes() + (long) part.readableBytes();
        if (needed > buffer.maxCapacity()) {
            return Appended.OVER_LIMIT;
        }
        if (needed > buffer.capacity() && !tryGrow((int) needed)) {
            return large.bytes() == 0 && needed > SMALL_BYTES ? Appended.NEEDS_TURN : Appended.NO_ROOM;
        }
        buffer.writeBytes(part);
        return Appended.WHOLE;
    }

    private boolean tryGrow(int needed) {
        if (large.bytes() >= needed) {
            buffer.capacity(Math.min(buffer.maxCapacity(), Math.max(needed, 2 * buffer.capacity())));
            return true;
        }
        return needed <= SMALL_BYTES && tryGrowSmall(Math.min(SMALL_BYTES, Math.max(needed, 2 * buffer.capacity())));
    }

    private boolean tryGrowSmall(int wanted) {
        int capacity = Math.min(buffer.maxCapacity(), wanted);
        if (!small.tryGrow(capacity - buffer.capacity())) {
            return false;
        }
        buffer.capacity(capacity);
        return true;
    }

    /** Returns the most that the body may have, in bytes, by the limits in force when it began. */
    int maxBytes() {
        return buffer.maxCapacity();
    }

    /** Gives back what a body of unknown length didn't need, and returns its bytes; the receiver releases them. */
    ByteBuf complete() {
        if (large.bytes() > buffer.readableBytes()) {
            buffer.capacity(buffer.readableBytes());
            large.shrinkTo(buffer.readableBytes());
        }
        return buffer;
    }

    /** Drops the body. */
    void release() {
        buffer.release();
    }
}
