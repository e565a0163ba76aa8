package org.rattanrudder.core.companion;

import java.util.List;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.time.EventTime;

/** Checks the timeouts of attempts at each tick. */
final class AttemptTimeouts {
    /** Timeout within which the entry of a detached attempt must resume it; otherwise the attempt is stopped. */
    static final long RESUME_TIMEOUT_MICROS = 5_000_000;

    /**
     * Minimum time for which an ended answer is retained for a resume. Afterwards it is discarded once the entry has
     * confirmed all its chunks.
     */
    static final long ENDED_RETENTION_MICROS = 5_000_000;

    /**
     * Maximum number of bytes of ended answers that are retained for slow callers; beyond it, the oldest are discarded.
     */
    static final long MAX_ENDED_BYTES = 4 << 20;

    private static final long MICROS_PER_MILLI = 1_000;

    private final Attempts attempts;
    private final AttemptFrameHandler frameHandler;
    private final AttemptRunner runner;

    AttemptTimeouts(Attempts attempts, AttemptFrameHandler frameHandler, AttemptRunner runner) {
        this.attempts = attempts;
        this.frameHandler = frameHandler;
        this.runner = runner;
    }

    void tick(EventContext context) {
        for (Attempt attempt : attempts.matching(each -> isTargetUnresponsive(each, context.nowMicros()))) {
            context.emit(new CompanionEffect.CancelCall(attempt.id()));
            runner.fail(attempt, ErrorKind.TARGET_SILENT, "no progress in time", context);
        }
        for (Attempt attempt : attempts.matching(each -> hasClaimTimedOut(each, context.now()))) {
            runner.refuse(attempt, ErrorKind.DEADLINE_UNREACHABLE, "its key couldn't be claimed in time", context);
        }
        attempts.matching(each -> hasFetchTimedOut(each, context.nowMicros()))
                .forEach(attempt -> runner.callWithoutContext(attempt, context));
        for (Attempt attempt : attempts.matching(each -> hasResumeTimedOut(each, context.nowMicros()))) {
            frameHandler.stop(attempt, context);
        }
        attempts.matching(each -> isExpired(each, context.nowMicros())).forEach(runner::discard);
        limitEndedAnswers();
    }

    /**
     * Discards the oldest ended answers beyond {@link #MAX_ENDED_BYTES}. Their frames have been sent and they are
     * retained only for a resume on another link, but a few hundred slow callers could otherwise fill the memory with
     * them.
     */
    private void limitEndedAnswers() {
        List<Attempt> ended = attempts.matching(each -> each.stage() == Attempt.Stage.ENDED);
        long bytes =
                ended.stream().mapToLong(each -> each.answer().retainedBytes()).sum();
        for (Attempt oldest : ended) {
            if (bytes <= MAX_ENDED_BYTES) {
                return;
            }
            bytes -= oldest.answer().retainedBytes();
            runner.discard(oldest);
        }
    }

    /** A target that waits for a slow caller isn't unresponsive: the window of its answer is exhausted. */
    private static boolean isTargetUnresponsive(Attempt attempt, long nowMicros) {
        return attempt.stage() == Attempt.Stage.CALLED
                && isWithoutProgress(attempt, nowMicros)
                && (attempt.isAbandoned() || !attempt.answer().isWindowExhausted());
    }

    /** A decision on the key that arrives later finds no attempt, so that nothing runs. */
    private static boolean hasClaimTimedOut(Attempt attempt, EventTime now) {
        return attempt.stage() == Attempt.Stage.CLAIMING && attempt.mayBeLate(now);
    }

    private static boolean hasFetchTimedOut(Attempt attempt, long nowMicros) {
        return attempt.stage() == Attempt.Stage.FETCHING && isWithoutProgress(attempt, nowMicros);
    }

    private static boolean isWithoutProgress(Attempt attempt, long nowMicros) {
        long limit = attempt.target().document().limits().progressMillis() * MICROS_PER_MILLI;
        return nowMicros - attempt.progressMicros() >= limit;
    }

    private static boolean hasResumeTimedOut(Attempt attempt, long nowMicros) {
        return attempt.isDetached()
                && !attempt.isAbandoned()
                && nowMicros - attempt.detachedMicros() >= RESUME_TIMEOUT_MICROS;
    }

    private static boolean isExpired(Attempt attempt, long nowMicros) {
        return attempt.stage() == Attempt.Stage.ENDED
                && attempt.answer().retainedChunks() == 0
                && nowMicros - attempt.endedMicros() >= ENDED_RETENTION_MICROS;
    }
}
