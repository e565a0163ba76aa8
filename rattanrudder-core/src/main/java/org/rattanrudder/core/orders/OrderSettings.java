package org.rattanrudder.core.orders;

/**
 * Terms of leases and claims, and intervals for orders, all in microseconds.
 *
 * <p>No clock of another process is trusted. A holder counts its term from the time before it sent the record. All
 * others count a term that is a quarter longer, from the time after they read the record. So the lease ends for its
 * holder first, unless the holder's clock runs a fifth slower than theirs.
 *
 * @param leaseTermMicros the term of a lease to send orders
 * @param loadTermMicros the term of a claim to load weights; longer than any load, renewed after half of it
 * @param pauseThresholdMicros minimum time between two ticks that counts as a pause, after which no lease is trusted
 * @param pollIntervalMicros the interval between two queries to a target that is loading
 * @param deviationGraceMicros how long a target may report another version than was ordered before the order is sent
 *     again
 * @param baseBackoffMicros the back-off after a refused order, doubled after each further one
 */
public record OrderSettings(
        long leaseTermMicros,
        long loadTermMicros,
        long pauseThresholdMicros,
        long pollIntervalMicros,
        long deviationGraceMicros,
        long baseBackoffMicros) {
    private static final long SECOND_MICROS = 1_000_000;

    /** A lease term of 20 seconds and a load term of 15 minutes. */
    public static final OrderSettings DEFAULT = new OrderSettings(
            20 * SECOND_MICROS,
            900 * SECOND_MICROS,
            SECOND_MICROS,
            SECOND_MICROS,
            30 * SECOND_MICROS,
            10 * SECOND_MICROS);

    /** Returns for how long after a pause results of log reads from before the pause may still arrive. */
    public long staleReadMicros() {
        return leaseTermMicros / 4;
    }

    /** Returns after which time a lease or claim of this term expires for others, counted from reading its record. */
    static long observedTermMicros(long termMicros) {
        return termMicros + termMicros / 4;
    }
}
