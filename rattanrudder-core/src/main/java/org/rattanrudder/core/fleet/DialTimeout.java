package org.rattanrudder.core.fleet;

/**
 * Adaptive timeout for opening a connection on behalf of a request.
 *
 * <p>Healthy targets are a few ms away. A relay whose link or processor is overloaded sees all of them connect slowly
 * and must not treat them all as unreachable, so the timeout is a multiple of the average time of recent successful
 * dials.
 */
public final class DialTimeout {
    /** Minimum timeout: targets in distant regions connect within 20 ms. */
    static final long MIN_MILLIS = 100;

    /** Maximum timeout: TCP retransmits a lost first packet only after a second, so trying another target is faster. */
    public static final long MAX_MILLIS = 400;

    private static final double SAMPLE_WEIGHT = 0.2;
    private static final double DIAL_TIME_MULTIPLE = 4;

    private double averageMillis;

    /** Records how long a successful dial took. */
    public void recordOpened(long tookMillis) {
        averageMillis += SAMPLE_WEIGHT * (tookMillis - averageMillis);
    }

    /** Returns the current timeout. */
    public long millis() {
        return Math.max(MIN_MILLIS, Math.min(MAX_MILLIS, (long) (DIAL_TIME_MULTIPLE * averageMillis)));
    }
}
