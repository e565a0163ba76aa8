package org.rattanrudder.core.fleet;

/**
 * How long a request waits for a connection to open.
 *
 * <p>Healthy targets are a few ms away. A relay on a squeezed link or processor sees all of them answer late; it
 * must not take them all for lost, so it waits a multiple of what its dials that opened took lately.
 */
public final class DialTimeout {
    /** The least time that a request waits, in ms: far regions answer within twenty. */
    static final long LEAST_MILLIS = 100;

    /** The most, in ms: a dial whose first packet was lost is repeated after a second; another target is sooner. */
    public static final long MAX_MILLIS = 400;

    private static final double SAMPLE_WEIGHT = 0.2;
    private static final double MULTIPLE = 4;

    private double usualMillis;

    /** Notes how long a dial took that opened, in ms. */
    public void recordOpened(long tookMillis) {
        usualMillis += SAMPLE_WEIGHT * (tookMillis - usualMillis);
    }

    /** Returns how long a request waits for a dial, in ms. */
    public long millis() {
        return Math.max(LEAST_MILLIS, Math.min(MAX_MILLIS, (long) (MULTIPLE * usualMillis)));
    }
}
