package org.rattanrudder.core.claims;

/**
 * Bounds and waits of a {@link KeyClaims}.
 *
 * @param claimTimeoutMicros how long an attempt waits for its claim at the most; far less than any key retention
 * @param inProgressMicros how long another's claim without an outcome counts as running
 * @param maxRecordedBodyBytes the largest body that is recorded
 * @param bodyBudget the most bytes of recorded bodies kept in memory
 * @param capacity the most keys with work of this process at once
 * @param logRetentionMicros how long the log keeps a record
 */
public record ClaimSettings(
        long claimTimeoutMicros,
        long inProgressMicros,
        int maxRecordedBodyBytes,
        long bodyBudget,
        int capacity,
        long logRetentionMicros) {
    /** Settings for a log that keeps its records for seven days. */
    public static final ClaimSettings DEFAULT =
            new ClaimSettings(1_000_000, 30_000_000, 16 * 1024, 4L * 1024 * 1024, 4096, 7L * 86_400 * 1_000_000);
}
