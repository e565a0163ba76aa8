package org.rattanrudder.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.gateway.ResponseClassifier.Head;
import org.rattanrudder.core.gateway.ResponseClassifier.Verdict;

class AnswerRulesTest {
    @ParameterizedTest
    @CsvSource({
        "200, true, false, false, AT_MOST_ONCE, PASS_ON",
        "200, false, false, false, AT_MOST_ONCE, NO_ANSWER",
        "421, false, true, true, AT_MOST_ONCE, MISDIRECTED",
        "503, false, true, false, AT_MOST_ONCE, REJECTED",
        "503, true, false, false, AT_MOST_ONCE, REPLACE",
        "429, true, false, false, AT_MOST_ONCE, REPLACE",
        "408, true, false, false, AT_MOST_ONCE, REPLACE",
        "500, true, false, false, AT_MOST_ONCE, PASS_ON",
        "500, true, false, false, IDEMPOTENT, REPLACE",
        "404, true, false, false, IDEMPOTENT, PASS_ON",
    })
    void anAnswerIsJudgedByItsHead(
            int status, boolean signed, boolean notRun, boolean misdirected, RepeatRule repeat, Verdict expected) {
        Head head = new Head(status, signed, notRun, misdirected);

        assertThat(ResponseClassifier.classify(head, progress(repeat, false))).isEqualTo(expected);
    }

    /**
     * Half of a stream has gone to a clerk; the failure of the engine that should go on can't be passed on as it is.
     */
    @ParameterizedTest
    @CsvSource({"404", "500"})
    void aFailureAfterTheAnswerBeganIsNeverPassedOn(int status) {
        Head head = new Head(status, true, false, false);

        assertThat(ResponseClassifier.classify(head, progress(RepeatRule.STREAM_RESUMABLE, true)))
                .isEqualTo(Verdict.RETRY_OR_FAIL);
    }

    private static RetryPolicy.Progress progress(RepeatRule repeat, boolean began) {
        ServiceRoute route = new ServiceRoute(
                "r", "h", "/", repeat, 1_000, 100, 0, 0, List.of(new WeightedService("s", 1)), 2, true);
        return new RetryPolicy.Progress(route, 1, 0, began, began, 900);
    }
}
