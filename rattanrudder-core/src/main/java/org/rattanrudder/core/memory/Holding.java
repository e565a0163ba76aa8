package org.rattanrudder.core.memory;

/** Bytes that are held for one caller and one use. Closing it gives them back, once; it is confined to one thread. */
public final class Holding implements AutoCloseable {
    private final ByteBudget budget;
    private final ByteUse use;
    private final String caller;
    private long bytes;
    private boolean closed;

    Holding(ByteBudget budget, ByteUse use, String caller) {
        this.budget = budget;
        this.use = use;
        this.caller = caller;
    }

    /** Holds that many bytes in all, if there is room for those that come in addition; returns whether there was. */
    public boolean tryGrowTo(long wantedBytes) {
        return wantedBytes <= bytes || tryGrow(wantedBytes - bytes);
    }

    /** Holds so many bytes more, if there is room for them; returns whether there was. */
    public boolean tryGrow(long moreBytes) {
        if (closed || !budget.tryAdd(use, caller, moreBytes)) {
            return false;
        }
        bytes += moreBytes;
        return true;
    }

    /** Gives back what is held beyond that many bytes. */
    public void shrinkTo(long keptBytes) {
        long returned = bytes - keptBytes;
        if (returned > 0) {
            budget.tryAdd(use, caller, -returned);
            bytes = keptBytes;
        }
    }

    /** Returns how many bytes are held. */
    public long bytes() {
        return bytes;
    }

    /** Returns for whom they are held. */
    public String caller() {
        return caller;
    }

    /** Returns what they are held for. */
    public ByteUse use() {
        return use;
    }

    @Override
    public void close() {
        shrinkTo(0);
        closed = true;
    }
}
