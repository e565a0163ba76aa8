package org.rattanrudder.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ShutdownPolicyTest {
    /**
     * A relay is asked to stop while no other one is ready, and stays ready for some seconds. A stream that it accepts
     * four seconds after the stop request would still run when the process is killed.
     */
    @ParameterizedTest
    @CsvSource({
        "true, 12000, 4000, 1000, true",
        "true, 12000, 4600, 2600, true",
        "true, 12000, 4601, 2600, false",
        "true, 12000, 100, 2601, false",
        "true, 12000, , 1, false",
        "true, 4000, , 2600, true",
        "true, 4000, 4000, 4000, false",
        "false, 800, , 4000, true",
        "false, 800, , 6400, true",
        "false, 800, , 6401, false",
        "false, 800, 2000, 6400, true",
        "false, 9000, , 100, false",
        "false, 9000, 300, 6900, true",
        "false, 9000, 300, 6901, false",
    })
    void requestIsAcceptedOnlyIfItCanFinish(boolean stream, long bound, Long usual, long since, boolean expected) {
        OptionalLong limit = usual == null ? OptionalLong.empty() : OptionalLong.of(usual);

        assertThat(ShutdownPolicy.accepts(stream, bound, limit, since, 8_000)).isEqualTo(expected);
    }

    /** Whoever gets a last answer, or still takes one, needs a part of the margin before the rest is cut. */
    @ParameterizedTest
    @ValueSource(longs = {1_000, 3_000, 8_000, 30_000})
    void answersAreCutAfterRequestsHaveEndedAndBeforeTheKill(long grace) {
        assertThat(ShutdownPolicy.cutMarginMillis(grace))
                .isBetween(grace / 100, ShutdownPolicy.exitMarginMillis(grace) / 2)
                .isPositive();
    }

    /**
     * A deployment gives a process three seconds to stop. If the relay stayed ready for 2.8 s, the requests that it
     * accepts in the next 2.6 s would be cut off when the process is killed, without a response to their callers.
     */
    @ParameterizedTest
    @ValueSource(longs = {1_000, 2_000, 3_000, 4_000, 8_000, 30_000})
    void lastAcceptedRequestHasTimeToFinish(long grace) {
        long lastTaken = ShutdownPolicy.readinessHoldMillis(grace) + ShutdownPolicy.callerDrainMillis(grace);
        long end = grace - ShutdownPolicy.exitMarginMillis(grace);

        assertThat(end - lastTaken).isGreaterThanOrEqualTo(grace / 5);
        assertThat(ShutdownPolicy.exitMarginMillis(grace)).isBetween(grace / 40, grace / 6);
    }

    /** Longer grace periods don't change the times: callers need two seconds to notice a stop in any deployment. */
    @ParameterizedTest
    @CsvSource({"8000, 1800, 2600, 800", "30000, 1800, 2600, 800"})
    void longerGracePeriodDoesNotChangeTimes(long grace, long readinessHold, long callerDrain, long margin) {
        assertThat(List.of(
                        ShutdownPolicy.readinessHoldMillis(grace),
                        ShutdownPolicy.callerDrainMillis(grace),
                        ShutdownPolicy.exitMarginMillis(grace)))
                .containsExactly(readinessHold, callerDrain, margin);
    }
}
