package org.rattanrudder.core.admission;

/**
 * How much one target takes.
 *
 * @param slots how many requests it runs at once
 * @param reservedSlots how many of these only urgent requests may take
 * @param urgentPriority requests of this priority or a lower number are urgent
 * @param queueLength how many requests may wait
 */
public record AdmissionLimits(int slots, int reservedSlots, int urgentPriority, int queueLength) {
    /** The fewest places of which one is reserved: with fewer, the rest would be left with too little. */
    private static final int FEWEST_TO_RESERVE = 4;

    /** One place in this many is reserved. */
    private static final int PLACES_FOR_ONE_RESERVED = 8;

    /**
     * Returns the limits with the usual reserve. Requests aren't interrupted, so that an alarm which finds every place
     * taken by a long summary would wait for one of them; a place that summaries can't take is soon free.
     */
    public static AdmissionLimits of(int places, int urgentPriority, int queueLength) {
        int reserved = places < FEWEST_TO_RESERVE ? 0 : Math.max(1, places / PLACES_FOR_ONE_RESERVED);
        return new AdmissionLimits(places, reserved, urgentPriority, queueLength);
    }
}
