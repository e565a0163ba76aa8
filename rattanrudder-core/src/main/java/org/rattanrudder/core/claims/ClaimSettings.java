package org.rattanrudder.core.claims;

/**
 * Limits and timeouts of a {@link KeyClaims}.
 *
 * @param claimTimeoutMicros the longest time that an attempt waits for its claim to be read back; must be far below any
 *     key retention
 * @param presumedRunningMicros how long a claim of another companion without an outcome is taken for a running call
 * @param maxRecordedBodyBytes the size of the largest response body that is recorded
 * @param maxStoredBodyBytes the total size of recorded bodies kept in memory
 * @param maxPendingKeys the maximum number of keys that this process claims, runs or records at once
 * @param logRetentionMicros how long the log keeps a record
 */
public record ClaimSettings(
        long claimTimeoutMicros,
        long presumedRunningMicros,
        int maxRecordedBodyBytes,
        long maxStoredBodyBytes,
        int maxPendingKeys,
        long logRetentionMicros) {
    /** Settings for a log that keeps its records for seven days. */
    public static final ClaimSettings DEFAULT =
            new ClaimSettings(1_000_000, 30_000_000, 16 * 1024, 4L * 1024 * 1024, 4096, 7L * 86_400 * 1_000_000);
}
