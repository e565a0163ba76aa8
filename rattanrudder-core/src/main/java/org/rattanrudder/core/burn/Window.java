package org.rattanrudder.core.burn;

/** The time windows of the burn report. */
public enum Window {
    /** The last five minutes. */
    FIVE_MINUTES("5 min", 300_000L, SlotRing.MINUTE_MILLIS),
    /** The last hour. */
    HOUR("1 h", 3_600_000L, SlotRing.MINUTE_MILLIS),
    /** The last six hours. */
    SIX_HOURS("6 h", 21_600_000L, SlotRing.QUARTER_MILLIS),
    /** The last three days. */
    THREE_DAYS("3 d", 259_200_000L, SlotRing.QUARTER_MILLIS);

    private final String label;
    private final long millis;
    private final long slotMillis;

    Window(String label, long millis, long slotMillis) {
        this.label = label;
        this.millis = millis;
        this.slotMillis = slotMillis;
    }

    /** Returns its label in tables, such as {@code 5 min}. */
    public String label() {
        return label;
    }

    /** Returns its length in milliseconds. */
    public long millis() {
        return millis;
    }

    /** Returns whether it is counted in slots of a minute; otherwise the slots are quarters of an hour. */
    public boolean isCountedInMinutes() {
        return slotMillis == SlotRing.MINUTE_MILLIS;
    }

    /**
     * Returns when the window starts. It ends with the current slot, which isn't complete yet, so it may be up to
     * one slot shorter than its label says.
     */
    public long startMillis(long nowMillis) {
        return Math.floorDiv(nowMillis, slotMillis) * slotMillis - millis + slotMillis;
    }
}
