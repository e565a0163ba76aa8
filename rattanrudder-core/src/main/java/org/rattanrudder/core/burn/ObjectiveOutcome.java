package org.rattanrudder.core.burn;

import org.rattanrudder.core.document.RequestClass;
import org.rattanrudder.core.entry.RequestSummary;
import org.rattanrudder.core.model.ErrorKind;

/** How a request counts against its objective. */
public enum Judgement {
    /** Answered within the objective. */
    GOOD,
    /** Late, or failed by the fault of the system or a target. */
    BAD,
    /** Neither: the caller's own doing. */
    EXCLUDED;

    private static final long MICROS_PER_MILLI = 1_000;
    private static final int SERVER_ERROR = 500;

    /** Returns how the ended request counts against the objective of its class. */
    public static Judgement of(RequestSummary summary, RequestClass objective) {
        long objectiveMicros = objective.objectiveMillis() * MICROS_PER_MILLI;
        if (summary.error().isPresent()) {
            return ofError(summary, summary.error().get(), objectiveMicros);
        }
        boolean inTime = summary.firstByteMicros() >= 0 && summary.firstByteMicros() <= objectiveMicros;
        return inTime && summary.status() < SERVER_ERROR ? GOOD : BAD;
    }

    private static Judgement ofError(RequestSummary summary, ErrorKind kind, long objectiveMicros) {
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
            // A caller that left after the objective had passed has left since the answer was late.
            case CANCELLED -> summary.firstByteMicros() < 0 && summary.totalMicros() > objectiveMicros ? BAD : EXCLUDED;
            case DEADLINE_UNREACHABLE,
                    OVERLOADED,
                    NO_TARGET,
                    DRAINING,
                    LOG_UNAVAILABLE,
                    VERSION_CHANGED,
                    STALE_INCARNATION,
                    TARGET_UNREACHABLE,
                    TARGET_FAILED,
                    TARGET_SILENT,
                    OUTCOME_UNKNOWN,
                    INTERNAL -> BAD;
        };
    }
}
