package org.rattanrudder.core.configuration;

/**
 * How often the configuration is appended to the log again so that it outlives the log's retention.
 *
 * <p>A text is refreshed after one to two times {@code refreshAfterIndexes} index intervals. The log must therefore
 * retain records for more than three times {@code refreshAfterIndexes} intervals plus the longest outage: nine hours
 * plus the outage by default.
 *
 * @param indexIntervalMicros the time between two indexes, in microseconds
 * @param refreshAfterIndexes after how many indexes a text is refreshed
 * @param recoveryDelayMicros after how long without a valid index, in microseconds, an incomplete process appends an
 *     index of the revisions that it has
 */
public record RefresherSettings(long indexIntervalMicros, int refreshAfterIndexes, long recoveryDelayMicros) {
    private static final long MINUTE_MICROS = 60_000_000;

    /** An index every ten minutes and a refresh of each text about every three hours. */
    public static final RefresherSettings DEFAULT = new RefresherSettings(10 * MINUTE_MICROS, 18, 60 * MINUTE_MICROS);

    /** Throws an {@link IllegalArgumentException} if a value is out of range. */
    public RefresherSettings {
        if (indexIntervalMicros < 2 || refreshAfterIndexes < 1 || recoveryDelayMicros < indexIntervalMicros) {
            throw new IllegalArgumentException(
                    "the index interval must be at least 2, the index count positive, and the recovery delay at least"
                            + " as long as the index interval");
        }
    }
}
