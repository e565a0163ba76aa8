package org.rattanrudder.core.burn;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** A ring buffer of the numbers of good and bad requests in time slots of equal length. */
final class SlotRing {
    static final long MINUTE_MILLIS = 60_000;
    static final long QUARTER_MILLIS = 900_000;

    private static final long EMPTY_SLOT = Long.MIN_VALUE;

    private final long slotMillis;
    private final long[] starts;
    private final long[] good;
    private final long[] bad;

    private SlotRing(long slotMillis, long spanMillis) {
        int slots = (int) (spanMillis / slotMillis);
        this.slotMillis = slotMillis;
        this.starts = new long[slots];
        this.good = new long[slots];
        this.bad = new long[slots];
        Arrays.fill(starts, EMPTY_SLOT);
    }

    static SlotRing ofMinutes() {
        return new SlotRing(MINUTE_MILLIS, Window.HOUR.millis());
    }

    static SlotRing ofQuarters() {
        return new SlotRing(QUARTER_MILLIS, Window.THREE_DAYS.millis());
    }

    void add(boolean isGood, long nowMillis) {
        long number = Math.floorDiv(nowMillis, slotMillis);
        int slot = (int) Math.floorMod(number, (long) starts.length);
        if (starts[slot] != number * slotMillis) {
            starts[slot] = number * slotMillis;
            good[slot] = 0;
            bad[slot] = 0;
        }
        good[slot] += isGood ? 1 : 0;
        bad[slot] += isGood ? 0 : 1;
    }

    /** Returns the slots that the ring covers and that had requests, oldest first. */
    List<BurnSnapshot.SlotCounts> slots(long nowMillis) {
        long newest = Math.floorDiv(nowMillis, slotMillis);
        List<BurnSnapshot.SlotCounts> counts = new ArrayList<>();
        for (long number = newest - starts.length + 1; number <= newest; number++) {
            int slot = (int) Math.floorMod(number, (long) starts.length);
            if (starts[slot] == number * slotMillis) {
                counts.add(new BurnSnapshot.SlotCounts(starts[slot], good[slot], bad[slot]));
            }
        }
        return counts;
    }
}
