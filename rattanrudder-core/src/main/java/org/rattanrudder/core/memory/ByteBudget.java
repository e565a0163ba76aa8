package org.rattanrudder.core.memory;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * The bytes of others that one process may hold, and who holds them: asked before more is read.
 *
 * <p>Two rules bound what is held. The sum never exceeds the budget, where each use counts at least with its guaranteed
 * share, so that one use can't take all. And within a use, one caller may hold only some times what it leaves free, so
 * that another caller always finds room; a caller that holds nothing may take all that is free if nobody else holds
 * anything.
 *
 * <pre>{@code
 * ByteBudget budget = ByteBudget.ofHeap(Runtime.getRuntime().maxMemory());
 * Holding body = budget.holding(ByteUse.UPLOAD, "depot");
 * if (body.tryGrowTo(length)) {
 *     // read, and at the end, whichever it is:
 *     body.close();
 * }
 * }</pre>
 *
 * <p>Several threads may use it.
 */
public final class ByteBudget {
    /** Size of a request's body up to which it is held as {@link ByteUse#REQUEST}; above, as an upload. */
    public static final int SMALL_REQUEST_BYTES = 64 * 1_024;

    /** Share of the heap; the rest is for the process's own state and for garbage that isn't collected yet. */
    private static final double HEAP_SHARE = 0.5;

    /** How many times what is left free of a use one caller may hold of it. */
    private static final int CALLER_RATIO = 4;

    private final long capacityBytes;
    private final Use[] uses = new Use[ByteUse.values().length];

    /** Creates a budget of which nothing is held. */
    public ByteBudget(long capacityBytes) {
        this.capacityBytes = capacityBytes;
        for (ByteUse use : ByteUse.values()) {
            uses[use.ordinal()] = new Use(use, capacityBytes);
        }
    }

    /**
     * Returns the budget of a process.
     *
     * @param heapBytes the largest size of its heap
     */
    public static ByteBudget ofHeap(long heapBytes) {
        return new ByteBudget((long) (heapBytes * HEAP_SHARE));
    }

    /** What is held for one use. */
    private static final class Use {
        private final long guaranteedBytes;
        private final long largestBytes;
        private final Map<String, Long> byCaller = new HashMap<>();
        private long heldBytes;

        Use(ByteUse use, long capacityBytes) {
            guaranteedBytes = (long) (use.guaranteedShare() * capacityBytes);
            largestBytes = (long) (use.largestShare() * capacityBytes);
        }

        long reservedBytes() {
            return Math.max(heldBytes, guaranteedBytes);
        }

        long heldBy(String caller) {
            return byCaller.getOrDefault(caller, 0L);
        }

        void add(String caller, long bytes) {
            heldBytes += bytes;
            byCaller.merge(caller, bytes, (before, more) -> before + more == 0 ? null : before + more);
        }
    }

    /**
     * Returns a holding of no bytes.
     *
     * @param caller who sends or receives them: the name of a customer, or an address
     */
    public Holding holding(ByteUse use, String caller) {
        return new Holding(this, use, caller);
    }

    synchronized boolean tryAdd(ByteUse use, String caller, long bytes) {
        if (bytes > 0 && bytes > roomFor(use, caller)) {
            return false;
        }
        uses[use.ordinal()].add(caller, bytes);
        return true;
    }

    /** Returns how many bytes more a caller may hold now. */
    public synchronized long roomFor(ByteUse use, String caller) {
        Use wanted = uses[use.ordinal()];
        long free = limit(use) - wanted.heldBytes;
        long own = wanted.heldBy(caller);
        if (wanted.heldBytes == 0) {
            return free;
        }
        // The most that keeps own + more <= ratio * (free - more).
        return Math.max(0, Math.min(free, (CALLER_RATIO * free - own) / (CALLER_RATIO + 1)));
    }

    /** Returns how many bytes may be held for a use now, by all callers, given what is held for the others. */
    public synchronized long limit(ByteUse use) {
        Use wanted = uses[use.ordinal()];
        long others = -wanted.reservedBytes();
        for (Use each : uses) {
            others += each.reservedBytes();
        }
        return Math.max(0, Math.min(wanted.largestBytes, capacityBytes - others));
    }

    /** Returns how many of so many bytes one caller may hold while others hold none. */
    static long ofOneCaller(long bytes) {
        return bytes * CALLER_RATIO / (CALLER_RATIO + 1);
    }

    /** Returns the most that may ever be held for a use, in bytes. */
    public long largest(ByteUse use) {
        return uses[use.ordinal()].largestBytes;
    }

    /** Returns how many bytes are held for a use. */
    public synchronized long held(ByteUse use) {
        return uses[use.ordinal()].heldBytes;
    }

    /** Returns how many bytes a caller holds for a use. */
    public synchronized long heldBy(ByteUse use, String caller) {
        return uses[use.ordinal()].heldBy(caller);
    }

    /** Returns how many bytes are held for all uses. */
    public synchronized long held() {
        return Arrays.stream(uses).mapToLong(use -> use.heldBytes).sum();
    }

    /** Returns how many bytes may be held. */
    public long capacityBytes() {
        return capacityBytes;
    }
}
