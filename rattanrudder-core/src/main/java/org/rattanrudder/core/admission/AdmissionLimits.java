package org.rattanrudder.core.admission;

/**
 * The limits of one target.
 *
 * @param slots how many requests it runs at once
 * @param reservedSlots how many of these only urgent requests may take
 * @param urgentPriority requests of this priority or a lower number are urgent
 * @param queueLength how many requests may be queued
 */
public record AdmissionLimits(int slots, int reservedSlots, int urgentPriority, int queueLength) {
    /** A slot is reserved only from this number on: with fewer, too few would be left for other requests. */
    private static final int MIN_SLOTS_TO_RESERVE = 4;

    /** One of this many slots is reserved. */
    private static final int SLOTS_PER_RESERVED_SLOT = 8;

    /**
     * Returns the limits with the default number of reserved slots. Running requests aren't interrupted, so without
     * a reserve an urgent request that finds every slot taken by a long one would wait for it to end. A slot that
     * long requests can't take is soon free.
     */
    public static AdmissionLimits of(int slots, int urgentPriority, int queueLength) {
        int reserved = slots < MIN_SLOTS_TO_RESERVE ? 0 : Math.max(1, slots / SLOTS_PER_RESERVED_SLOT);
        return new AdmissionLimits(slots, reserved, urgentPriority, queueLength);
    }
}
