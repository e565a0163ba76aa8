package org.rattanrudder.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ResponseTimeoutsTest {
    @ParameterizedTest
    @CsvSource({"IDEMPOTENT, false, 360", "STREAM_RESUMABLE, false, 800", "STREAM_RESUMABLE, true, 750"})
    void timeoutFollowsObjective(RepeatRule repeat, boolean responseStarted, long millis) {
        assertThat(ResponseTimeouts.timeoutMillis(route(repeat), responseStarted))
                .isEqualTo(millis);
    }

    /**
     * All engines are busy: each request that is moved to another engine after 800 ms needs its prompt computed again
     * there.
     */
    @ParameterizedTest
    @CsvSource({
        "STREAM_RESUMABLE, 900, true, true",
        "STREAM_RESUMABLE, 900, false, false",
        "STREAM_RESUMABLE, 2400, true, false",
        "IDEMPOTENT, 400, true, false",
    })
    void keepsWaitingForTargetThatServesOtherRequests(
            RepeatRule repeat, long quiet, boolean servesOthers, boolean expected) {
        assertThat(ResponseTimeouts.keepsWaiting(route(repeat), false, quiet, servesOthers))
                .isEqualTo(expected);
    }

    /** An engine's machine is down; a request that could run elsewhere waited for it for twice its objective. */
    @ParameterizedTest
    @CsvSource({"IDEMPOTENT, false", "STREAM_RESUMABLE, false", "STREAM_RESUMABLE, true"})
    void unreachableTargetHasShorterTimeout(RepeatRule repeat, boolean responseStarted) {
        long probeAfter = ResponseTimeouts.probeAfterMillis(route(repeat), responseStarted);

        assertThat(ResponseTimeouts.timeoutMillis(route(repeat), responseStarted, true))
                .isLessThanOrEqualTo(probeAfter);
        assertThat(probeAfter).isBetween(200L, ResponseTimeouts.timeoutMillis(route(repeat), responseStarted, false));
        assertThat(ResponseTimeouts.timeoutMillis(route(repeat), responseStarted, false))
                .isEqualTo(ResponseTimeouts.timeoutMillis(route(repeat), responseStarted));
    }

    private static ServiceRoute route(RepeatRule repeat) {
        return new ServiceRoute(
                "r", "h", "/", repeat, 4_000, 400, 300, 0, List.of(new WeightedService("s", 1)), 2, true);
    }
}
