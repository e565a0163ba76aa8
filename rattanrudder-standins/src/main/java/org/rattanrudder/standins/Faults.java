package org.rattanrudder.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.atomic.AtomicLong;

/** The faults that a stand-in was told to show; see {@code POST /fault} in {@code docs/PROTOCOLS.md}. */
final class Faults {
    private final AtomicLong answersToLose = new AtomicLong();
    private volatile long delayMillis;
    private volatile boolean down;
    private volatile boolean full;
    private volatile boolean reuseSlot;
    private volatile long silentSince = Long.MIN_VALUE;
    private volatile long bytesPerSecond;

    /** Takes a new set of faults in place of the present one; what it leaves out is set back. */
    void replace(JsonNode faults) {
        delayMillis = faults.path("delay_millis").asLong(0);
        down = faults.path("down").asBoolean(false);
        full = faults.path("full").asBoolean(false);
        reuseSlot = faults.path("reuse_slot").asBoolean(false);
        bytesPerSecond = faults.path("rate_bytes_per_second").asLong(0);
        answersToLose.set(faults.path("lose_answers").asLong(0));
        if (faults.path("silent").asBoolean(false)) {
            silentSince = System.nanoTime();
        }
    }

    long delayMillis() {
        return delayMillis;
    }

    boolean isDown() {
        return down;
    }

    boolean isFull() {
        return full;
    }

    /** Returns whether the next read is to meet a slot that is reused, and forgets it. */
    synchronized boolean takeSlotReuse() {
        boolean taken = reuseSlot;
        reuseSlot = false;
        return taken;
    }

    /** Returns whether this answer is to be lost, and counts it. */
    boolean takeLostAnswer() {
        return answersToLose.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
    }

    /** Returns whether a connection first seen at that time has gone silent; it stays so for good. */
    boolean isSilent(long firstSeenNanos) {
        long since = silentSince;
        return since != Long.MIN_VALUE && firstSeenNanos - since < 0;
    }

    /** Returns the rate of the link in bytes a second; 0 for no limit. */
    long bytesPerSecond() {
        return bytesPerSecond;
    }
}
