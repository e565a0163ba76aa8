package org.rattanrudder.core.log;

/**
 * Batching, retry and timeout settings of a {@link LogWriter}.
 *
 * @param minSendIntervalMicros the minimum average time between two batches, in microseconds
 * @param maxBatchEntries the maximum number of entries in one batch
 * @param maxBatchBytes the maximum estimated size of a batch; a larger single entry is sent alone
 * @param maxPendingEntries the maximum number of entries that are queued or in flight; new work may fill half of it
 * @param readBackTimeoutMicros how long a batch whose append has an unknown result is waited for in the stream before
 *     it is retried
 * @param unavailableTimeoutMicros how long appends may fail or get no response before new work is refused at once
 * @param initialBackoffMicros the backoff after the first failure; it doubles with each further one
 * @param maxBackoffMicros the maximum backoff after a failure
 */
public record LogWriterSettings(
        long minSendIntervalMicros,
        int maxBatchEntries,
        int maxBatchBytes,
        int maxPendingEntries,
        long readBackTimeoutMicros,
        long unavailableTimeoutMicros,
        long initialBackoffMicros,
        long maxBackoffMicros) {
    /** Settings for a stream whose entries callers wait for. */
    public static final LogWriterSettings DEFAULT =
            new LogWriterSettings(10_000, 256, 256 * 1024, 4096, 200_000, 500_000, 20_000, 2_000_000);

    /** Throws an {@link IllegalArgumentException} if a limit or timeout is out of range. */
    public LogWriterSettings {
        if (minSendIntervalMicros < 0 || maxBatchEntries < 1 || maxBatchBytes < 1 || maxPendingEntries < 2) {
            throw new IllegalArgumentException(
                    "the send interval must not be negative and the batch and queue limits must be positive");
        }
        if (readBackTimeoutMicros < 1 || unavailableTimeoutMicros < 1 || initialBackoffMicros < 1) {
            throw new IllegalArgumentException("timeouts must be positive");
        }
        if (maxBackoffMicros < initialBackoffMicros) {
            throw new IllegalArgumentException("the maximum backoff is shorter than the initial one");
        }
    }

    /** Returns the same settings with another minimum send interval. */
    public LogWriterSettings withMinSendIntervalMicros(long micros) {
        return new LogWriterSettings(
                micros,
                maxBatchEntries,
                maxBatchBytes,
                maxPendingEntries,
                readBackTimeoutMicros,
                unavailableTimeoutMicros,
                initialBackoffMicros,
                maxBackoffMicros);
    }
}
