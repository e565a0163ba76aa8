package org.rattanrudder.core.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class ReadPaceTest {
    private final ReadPace pace = new ReadPace(2_000);

    private LongStream emptyReads(int reads) {
        return LongStream.generate(() -> pace.onReadToEnd(false)).limit(reads);
    }

    @Test
    void readsGrowRarerWhileNothingComes() {
        assertThat(emptyReads(7)).containsExactly(100L, 200L, 400L, 800L, 1_600L, 2_000L, 2_000L);
    }

    /** Guards against a claim whose caller waits for a gap that has grown while nothing was appended. */
    @Test
    void recordsThatComeOrAreExpectedAreReadSoon() {
        emptyReads(7).sum();
        assertThat(pace.onReadToEnd(true)).isEqualTo(100);
        emptyReads(7).sum();
        pace.onRecordExpected();
        assertThat(pace.onReadToEnd(false)).isEqualTo(100);
    }
}
