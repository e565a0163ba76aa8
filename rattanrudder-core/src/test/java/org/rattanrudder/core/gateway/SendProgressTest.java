package org.rattanrudder.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SendProgressTest {
    private static final long IDLE_TIMEOUT = 1_000;
    private static final long UNSENT = 100_000;

    /** Guards against cutting a slow caller, and against one that holds an answer by taking a byte at a time. */
    @ParameterizedTest
    @CsvSource({"20000, false", "16384, false", "1, true", "0, true"})
    void callerIsStalledOnlyIfItTakesNextToNothing(long takenEachTime, boolean stalled) {
        SendProgress progress = new SendProgress(0);
        long unsent = UNSENT;
        progress.update(unsent, 0);
        for (long now = 900; now <= 3_600; now += 900) {
            unsent -= takenEachTime;
            progress.update(unsent, now);
        }

        assertThat(progress.isStalled(3_600, IDLE_TIMEOUT)).isEqualTo(stalled);
    }

    /** Guards against closing a connection on which nothing waits, or on which an answer has just been written. */
    @ParameterizedTest
    @CsvSource({"0, 5000, false", "100, 5000, true", "100, 1000, false"})
    void whatHasJustBeenWrittenHasItsTime(long unsent, long now, boolean stalled) {
        SendProgress progress = new SendProgress(0);
        progress.update(unsent, 0);

        assertThat(progress.isStalled(now, IDLE_TIMEOUT)).isEqualTo(stalled);
    }
}
