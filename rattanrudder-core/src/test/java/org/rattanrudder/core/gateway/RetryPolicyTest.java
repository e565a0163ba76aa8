package org.rattanrudder.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.gateway.RetryPolicy.Progress;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.RunState;

class RetryPolicyTest {
    /** A target crashes after it has received a POST that must not run twice; a second target would run it again. */
    @Property
    void nonRepeatableRequestIsNeverRetriedAfterItMayHaveRun(
            @ForAll RepeatRule repeat,
            @ForAll AttemptOutcome outcome,
            @ForAll @IntRange(max = 3) int runs,
            @ForAll @IntRange(max = 6) int unexecuted,
            @ForAll @LongRange(max = 5_000) long remaining,
            @ForAll boolean responseStarted) {
        Progress progress = new Progress(route(repeat, 3), runs, unexecuted, responseStarted, false, remaining);

        boolean mayHaveRun = outcome.mayHaveRun() || runs > 0;
        if (mayHaveRun && !repeat.repeatable()) {
            assertThat(RetryPolicy.mayRetry(progress, outcome)).isFalse();
        }
        if (responseStarted) {
            assertThat(RetryPolicy.mayRetry(progress, outcome)).isFalse();
        }
    }

    /**
     * If a caller is wrongly informed that a request did not run, it sends the request again, which then runs twice.
     */
    @Property
    void notRunIsReportedOnlyIfNoAttemptMayHaveRun(
            @ForAll AttemptOutcome outcome, @ForAll @IntRange(max = 3) int before) {
        int runs = before + (outcome.mayHaveRun() ? 1 : 0);
        ErrorKind error = RetryPolicy.finalError(runs, outcome);

        assertThat(error.runState() == RunState.NOT_RUN).isEqualTo(runs == 0);
    }

    @ParameterizedTest
    @CsvSource({
        "IDEMPOTENT, 2, 1, 0, BROKEN, true",
        "IDEMPOTENT, 2, 2, 0, BROKEN, false",
        "IDEMPOTENT, 1, 1, 0, BROKEN, false",
        "IDEMPOTENT, 1, 0, 1, REJECTED, true",
        "AT_MOST_ONCE, 1, 0, 1, REJECTED, true",
        "AT_MOST_ONCE, 1, 0, 1, NOT_SENT, true",
        "AT_MOST_ONCE, 3, 1, 0, SILENT, false",
        "AT_MOST_ONCE, 1, 0, 4, REJECTED, false",
        "STREAM_RESUMABLE, 2, 1, 0, SILENT, true",
        "STREAM_ONCE, 2, 1, 0, SILENT, false",
    })
    void retriesWithinLimits(
            RepeatRule repeat, int attempts, int runs, int unexecuted, AttemptOutcome outcome, boolean expected) {
        Progress progress = new Progress(route(repeat, attempts), runs, unexecuted, false, false, 1_000);

        assertThat(RetryPolicy.mayRetry(progress, outcome)).isEqualTo(expected);
    }

    private static ServiceRoute route(RepeatRule repeat, int attempts) {
        return new ServiceRoute(
                "r", "h", "/", repeat, 1_000, 100, 0, 0, List.of(new WeightedService("s", 1)), attempts, true);
    }
}
