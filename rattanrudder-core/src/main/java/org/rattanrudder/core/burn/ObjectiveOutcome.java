package org.rattanrudder.core.burn;

import org.rattanrudder.core.document.RequestClass;
import org.rattanrudder.core.entry.RequestSummary;
import org.rattanrudder.core.model.ErrorKind;

/** How a request counts against the objective of its class. */
public enum ObjectiveOutcome {
    /** Answered within the objective. */
    GOOD,
    /** Late, or failed because of the system or a target. */
    BAD,
    /** Counts as neither: the caller caused the failure. */
    EXCLUDED;

    private static final long MICROS_PER_MILLI = 1_000;
    private static final int SERVER_ERROR = 500;

    /** Returns how the ended request counts against the objective of its class. */
    public static ObjectiveOutcome of(RequestSummary summary, RequestClass objective) {
        long objectiveMicros = objective.objectiveMillis() * MICROS_PER_MILLI;
        if (summary.error().isPresent()) {
            return ofError(summary, summary.error().get(), objectiveMicros);
        }
        boolean isInTime = summary.firstByteMicros() >= 0 && summary.firstByteMicros() <= objectiveMicros;
        return isInTime && summary.status() < SERVER_ERROR ? GOOD : BAD;
    }

    private static ObjectiveOutcome ofError(RequestSummary summary, ErrorKind kind, long objectiveMicros) {
        return switch (kind) {
            case MALFORMED_REQUEST,
                    UNAUTHENTICATED,
                    FORBIDDEN,
                    UNKNOWN_SERVICE,
                    UNKNOWN_PATH,
                    REQUEST_TIMEOUT,
                    KEY_IN_PROGRESS,
                    BODY_TOO_LARGE,
                    KEY_REUSED,
                    CUSTOMER_OVER_SHARE,
                    HEADERS_TOO_LARGE,
                    REQUEST_QUARANTINED,
                    REVISION_CONFLICT,
                    INVALID_DOCUMENT -> EXCLUDED;
            // A caller that cancelled after the objective had passed did so because the answer was late.
            case CANCELLED -> summary.firstByteMicros() < 0 && summary.totalMicros() > objectiveMicros ? BAD : EXCLUDED;
            case DEADLINE_UNREACHABLE,
                    OVERLOADED,
                    NO_TARGET,
                    DRAINING,
                    LOG_UNAVAILABLE,
                    VERSION_CHANGED,
                    STALE_INCARNATION,
                    STREAM_ORIGIN_UNKNOWN,
                    STREAM_SOFTWARE_UNAVAILABLE,
                    TARGET_UNREACHABLE,
                    TARGET_FAILED,
                    TARGET_SILENT,
                    OUTCOME_UNKNOWN,
                    INTERNAL -> BAD;
        };
    }
}
