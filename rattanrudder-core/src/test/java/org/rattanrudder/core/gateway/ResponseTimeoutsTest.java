package org.rattanrudder.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PatienceTest {
    @ParameterizedTest
    @CsvSource({"IDEMPOTENT, false, 360", "STREAM_RESUMABLE, false, 800", "STREAM_RESUMABLE, true, 750"})
    void silenceIsMeasuredByWhatIsOnTime(RepeatRule repeat, boolean began, long millis) {
        assertThat(ResponseTimeouts.timeoutMillis(route(repeat), began)).isEqualTo(millis);
    }

    /** Engines are busy; each check that is taken away from one after 800 ms is read anew by another, as busy. */
    @ParameterizedTest
    @CsvSource({
        "STREAM_RESUMABLE, 900, true, true",
        "STREAM_RESUMABLE, 900, false, false",
        "STREAM_RESUMABLE, 2400, true, false",
        "IDEMPOTENT, 400, true, false",
    })
    void aTargetThatServesOthersIsWaitedFor(RepeatRule repeat, long quiet, boolean servesOthers, boolean expected) {
        assertThat(ResponseTimeouts.keepsWaiting(route(repeat), false, quiet, servesOthers))
                .isEqualTo(expected);
    }

    /** An engine's machine is gone; a check that could run elsewhere waited for it for twice its objective. */
    @ParameterizedTest
    @CsvSource({"IDEMPOTENT, false", "STREAM_RESUMABLE, false", "STREAM_RESUMABLE, true"})
    void aTargetThatCannotBeReachedIsGivenUpSooner(RepeatRule repeat, boolean began) {
        long suspicious = ResponseTimeouts.probeAfterMillis(route(repeat), began);

        assertThat(ResponseTimeouts.timeoutMillis(route(repeat), began, true)).isLessThanOrEqualTo(suspicious);
        assertThat(suspicious).isBetween(200L, ResponseTimeouts.timeoutMillis(route(repeat), began, false));
        assertThat(ResponseTimeouts.timeoutMillis(route(repeat), began, false))
                .isEqualTo(ResponseTimeouts.timeoutMillis(route(repeat), began));
    }

    private static ServiceRoute route(RepeatRule repeat) {
        return new ServiceRoute(
                "r", "h", "/", repeat, 4_000, 400, 300, 0, List.of(new WeightedService("s", 1)), 2, true);
    }
}
