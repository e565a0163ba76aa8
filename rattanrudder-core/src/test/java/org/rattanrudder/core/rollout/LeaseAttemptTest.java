package org.rattanrudder.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LeaseAttemptTest {
    private static final long READ_MILLIS = 8;
    private static final long APPEND_MILLIS = 5;

    /** All relays appended as soon as weights were published, and all but one were refused. */
    @ParameterizedTest
    @CsvSource({"1, 2", "21, 6", "299, 40"})
    void fewOfManyProcessesAppend(int peers, int most) {
        Random random = new Random(7);
        long firstReadAt = Long.MAX_VALUE;
        long[] dueAfter = new long[peers + 1];
        for (int process = 0; process <= peers; process++) {
            dueAfter[process] =
                    new LeaseAttempt(random::nextDouble).begin(1_000, peers).getAsLong();
            firstReadAt = Math.min(firstReadAt, dueAfter[process]);
        }
        long firstWrittenAt = firstReadAt + READ_MILLIS + APPEND_MILLIS;
        int appends = 0;
        for (long due : dueAfter) {
            appends += due < firstWrittenAt ? 1 : 0;
        }

        assertThat(appends).isBetween(1, most);
        assertThat(firstReadAt).isLessThan(100);
    }

    /** The end of the log that was known was 12 s old. */
    @Test
    void logIsReadAgainBeforeAnAppend() {
        LeaseAttempt attempt = new LeaseAttempt(() -> 0.5);
        long delay = attempt.begin(20_000, 10).getAsLong();
        attempt.onReadToEnd(20_000 + delay - 1, 20_000 + delay + 5);
        boolean byReadBeforeDelay = attempt.isRead();
        attempt.onReadToEnd(20_000 + delay, 20_000 + delay + 10);

        assertThat(delay).isEqualTo(100);
        assertThat(byReadBeforeDelay).isFalse();
        assertThat(attempt.isRead()).isTrue();
    }

    /** No engine could be ordered after the read; the record of another that was written since was overlooked. */
    @Test
    void readThatIsOldIsRepeated() {
        LeaseAttempt attempt = new LeaseAttempt(() -> 0);
        attempt.begin(0, 10);
        attempt.onReadToEnd(0, 10);
        attempt.begin(1_010, 10);
        boolean usable = attempt.isRead();
        attempt.begin(1_011, 10);

        assertThat(usable).isTrue();
        assertThat(attempt.isRead()).isFalse();
    }
}
