package org.rattanrudder.daemon.relay.serving;

import io.netty.channel.ChannelFuture;
import org.rattanrudder.core.memory.ByteUse;
import org.rattanrudder.core.memory.Holding;

/** What one connection holds of responses that its caller hasn't taken yet. */
final class UnsentBytes {
    private final MemoryAdmission memory;
    private final Runnable onSent;
    private String receiver;
    private long bytes;
    private boolean overflowed;

    /**
     * Creates a count of nothing.
     *
     * @param receiver who receives the responses until another one is named
     * @param onSent runs whenever something was sent that had to wait
     */
    UnsentBytes(MemoryAdmission memory, String receiver, Runnable onSent) {
        this.memory = memory;
        this.receiver = receiver;
        this.onSent = onSent;
    }

    /** Names who receives the responses from now on. */
    void setReceiver(String name) {
        receiver = name;
    }

    /** Returns an empty holding for what isn't written yet of a response. */
    Holding newHolding() {
        return memory.holding(ByteUse.RESPONSE, receiver);
    }

    /** Counts what was written until it is sent, if the caller doesn't take it at once. */
    void onWritten(ChannelFuture written, int count) {
        if (count == 0 || written.isDone()) {
            return;
        }
        Holding holding = newHolding();
        overflowed |= !holding.tryGrow(count);
        onWritten(written, holding);
    }

    /** Counts what was written and is held already until it is sent. */
    void onWritten(ChannelFuture written, Holding holding) {
        long count = holding.bytes();
        bytes += count;
        written.addListener(sent -> {
            bytes -= count;
            holding.close();
            onSent.run();
        });
    }

    /** Returns whether more was written than there was room for. */
    boolean hasOverflowed() {
        return overflowed;
    }

    /** Returns whether the caller has taken enough for more to be read for it. */
    boolean allowsMore() {
        return bytes == 0 || !memory.responsesAreMany();
    }
}
