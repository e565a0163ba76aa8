package org.rattanrudder.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.gateway.ResponseClassifier.Head;
import org.rattanrudder.core.gateway.ResponseClassifier.Verdict;

class ResponseClassifierTest {
    @ParameterizedTest
    @CsvSource({
        "200, true, false, false, AT_MOST_ONCE, FORWARD",
        "200, false, false, false, AT_MOST_ONCE, INVALID_RESPONSE",
        "421, false, true, true, AT_MOST_ONCE, MISDIRECTED",
        "503, false, true, false, AT_MOST_ONCE, REJECTED",
        "503, true, false, false, AT_MOST_ONCE, RETRY_OR_FAIL",
        "429, true, false, false, AT_MOST_ONCE, RETRY_OR_FAIL",
        "408, true, false, false, AT_MOST_ONCE, RETRY_OR_FAIL",
        "500, true, false, false, AT_MOST_ONCE, FORWARD",
        "500, true, false, false, IDEMPOTENT, RETRY_OR_FAIL",
        "404, true, false, false, IDEMPOTENT, FORWARD",
    })
    void responseIsClassifiedByItsHead(
            int status, boolean signed, boolean notRun, boolean misdirected, RepeatRule repeat, Verdict expected) {
        Head head = new Head(status, signed, notRun, misdirected);

        assertThat(ResponseClassifier.classify(head, progress(repeat, false))).isEqualTo(expected);
    }

    /**
     * A part of the stream was already sent to the caller, so the error of the engine that should resume it can't be
     * forwarded unchanged.
     */
    @ParameterizedTest
    @CsvSource({"404", "500"})
    void errorAfterResponseStartedIsNeverForwarded(int status) {
        Head head = new Head(status, true, false, false);

        assertThat(ResponseClassifier.classify(head, progress(RepeatRule.STREAM_RESUMABLE, true)))
                .isEqualTo(Verdict.RETRY_OR_FAIL);
    }

    private static RetryPolicy.Progress progress(RepeatRule repeat, boolean responseStarted) {
        ServiceRoute route = new ServiceRoute(
                "r", "h", "/", repeat, 1_000, 100, 0, 0, List.of(new WeightedService("s", 1)), 2, true);
        return new RetryPolicy.Progress(route, 1, 0, responseStarted, responseStarted, 900);
    }
}
