package org.rattanrudder.daemon.relay.serving;

import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.buffer.UnpooledHeapByteBuf;

/** A buffer that tells when nobody uses it any more, however it was passed on. */
final class HeldBuffer extends UnpooledHeapByteBuf {
    private final Runnable onFreed;

    /**
     * Creates an empty buffer without memory.
     *
     * @param maxCapacity the largest size to which it may grow, in bytes
     * @param onFreed runs once, when the last user has released it
     */
    HeldBuffer(int maxCapacity, Runnable onFreed) {
        super(UnpooledByteBufAllocator.DEFAULT, 0, maxCapacity);
        this.onFreed = onFreed;
    }

    @Override
    protected void deallocate() {
        super.deallocate();
        onFreed.run();
    }
}
