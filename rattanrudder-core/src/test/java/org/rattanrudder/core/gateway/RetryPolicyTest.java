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

class AttemptRulesTest {
    /** A pump posts a litre count, the target dies after it has it, and a second target books it again. */
    @Property
    void whatRunsOnceIsNeverSentAgainAfterItMayHaveRun(
            @ForAll RepeatRule repeat,
            @ForAll AttemptOutcome outcome,
            @ForAll @IntRange(max = 3) int runs,
            @ForAll @IntRange(max = 6) int unrun,
            @ForAll @LongRange(max = 5_000) long left,
            @ForAll boolean began) {
        Progress progress = new Progress(route(repeat, 3), runs, unrun, began, false, left);

        boolean mayHaveRun = outcome.mayHaveRun() || runs > 0;
        if (mayHaveRun && !repeat.repeatable()) {
            assertThat(RetryPolicy.mayRetry(progress, outcome)).isFalse();
        }
        if (began) {
            assertThat(RetryPolicy.mayRetry(progress, outcome)).isFalse();
        }
    }

    /** A clerk is told "not run", asks again, and the check has been made twice. */
    @Property
    void notRunIsSaidOnlyIfNothingMayHaveRun(@ForAll AttemptOutcome outcome, @ForAll @IntRange(max = 3) int before) {
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
    void anotherTargetIsTriedWhileItIsAllowed(
            RepeatRule repeat, int attempts, int runs, int unrun, AttemptOutcome outcome, boolean expected) {
        Progress progress = new Progress(route(repeat, attempts), runs, unrun, false, false, 1_000);

        assertThat(RetryPolicy.mayRetry(progress, outcome)).isEqualTo(expected);
    }

    private static ServiceRoute route(RepeatRule repeat, int attempts) {
        return new ServiceRoute(
                "r", "h", "/", repeat, 1_000, 100, 0, 0, List.of(new WeightedService("s", 1)), attempts, true);
    }
}
