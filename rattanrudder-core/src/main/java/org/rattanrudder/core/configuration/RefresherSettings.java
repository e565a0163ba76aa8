package org.rattanrudder.core.configuration;

/**
 * How often the configuration stream is written anew to outlive the log's retention.
 *
 * <p>A text is written again after between {@code refreshAfterIndexes} and twice as many periods, so the log must keep
 * records for longer than three times that and the longest outage: nine hours and the outage by default.
 *
 * @param periodMicros the time after which an index follows the one before, in microseconds
 * @param refreshAfterIndexes after how many indexes a text is written again
 * @param recoveryMicros after how long without any index a process that lacks records writes what it knows
 */
public record RefresherSettings(long periodMicros, int refreshAfterIndexes, long recoveryMicros) {
    private static final long MINUTE_MICROS = 60_000_000;

    /** An index each ten minutes, a text each three hours or so. */
    public static final RefresherSettings DEFAULT = new RefresherSettings(10 * MINUTE_MICROS, 18, 60 * MINUTE_MICROS);

    /** Refuses bounds that aren't positive with an {@link IllegalArgumentException}. */
    public RefresherSettings {
        if (periodMicros < 2 || refreshAfterIndexes < 1 || recoveryMicros < periodMicros) {
            throw new IllegalArgumentException("upkeep needs a period, a count and a longer time for recovery");
        }
    }
}
