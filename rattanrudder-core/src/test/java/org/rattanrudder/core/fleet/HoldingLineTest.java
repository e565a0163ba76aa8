package org.rattanrudder.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HoldingLineTest {
    private static final long LATE_TOKENS = 20_000;

    private final HoldingQueue<String> line = new HoldingQueue<>();

    @Test
    void theMoreUrgentRankGoesFirstThenTheLeastTime() {
        line.add("later", 1, 100, 300, 2_000, 4_000);
        line.add("soon", 1, 100, 200, 2_000, 4_000);
        line.add("urgent", 0, 100, 900, 2_000, 4_000);

        assertThat(line.first())
                .get()
                .extracting(HoldingQueue.QueuedRequest::request)
                .isEqualTo("urgent");
        line.remove(line.first().orElseThrow());
        assertThat(line.first())
                .get()
                .extracting(HoldingQueue.QueuedRequest::request)
                .isEqualTo("soon");
    }

    /**
     * Twice as many checks arrive as the engines can serve. Worked off in order, each would wait for all before it and
     * be late; a bus would wait at the pump for every one of them.
     */
    @Test
    void lateRequestsGoBehindAndTheirNumberIsBounded() {
        line.add("first late", 0, 9_000, 100, 2_000, 4_000);
        line.add("second late", 0, 9_000, 110, 2_000, 4_000);
        line.add("third late", 0, 9_000, 120, 2_000, 4_000);
        line.add("on time", 3, 9_000, 500, 2_000, 4_000);

        assertThat(line.expire(200, LATE_TOKENS))
                .extracting(HoldingQueue.QueuedRequest::request)
                .containsExactly("third late");
        assertThat(line.first())
                .get()
                .extracting(HoldingQueue.QueuedRequest::request)
                .isEqualTo("on time");
        line.remove(line.first().orElseThrow());
        assertThat(line.first())
                .get()
                .extracting(HoldingQueue.QueuedRequest::request)
                .isEqualTo("first late");
        line.remove(line.first().orElseThrow());
        line.add("fourth late", 0, 9_000, 210, 2_000, 4_000);
        assertThat(line.expire(300, LATE_TOKENS)).isEmpty();
        assertThat(line.size()).isEqualTo(2);
    }

    /**
     * Thirty relays wait for 35 engines. Each let as many late requests wait as if the engines were its own, so that a
     * clerk's check waited for its whole deadline at the relay and was never sent to an engine.
     */
    @ParameterizedTest
    @CsvSource({"6, 3", "8, 6", "35, 27", "40, 31", "1000, 130"})
    void whatWaitsAtAllRelaysTogetherDoesNotGrowWithTheirNumber(int engines, int relays) {
        long together = relays * HoldingQueue.maxLateTokens(engines, relays);

        assertThat(together / engines).isBetween(35_000L, 40_000L);
    }

    /**
     * Late checks wait behind those that can be on time, for whom every place is taken. One caller after the other
     * gives up, though one that had been sent away sooner would have been served when it came back.
     */
    @Test
    void whatWaitsTooLongAmongTheLateIsRefused() {
        HoldingQueue<String> line = new HoldingQueue<>();
        line.add("late", 0, 9_000, 100, 1_000, 4_000);
        line.add("later", 0, 9_000, 100, 1_100, 4_000);
        assertThat(line.expire(100, 40_000)).isEmpty();

        assertThat(line.expire(1_000, 40_000))
                .extracting(HoldingQueue.QueuedRequest::request)
                .containsExactly("late");

        assertThat(line.size()).isEqualTo(1);
        assertThat(line.expire(1_099, 40_000)).isEmpty();
        HoldingQueue.QueuedRequest<String> next = line.add("next", 0, 31_000, 1_050, 2_000, 4_000);
        assertThat(line.expire(1_100, 40_000))
                .as("room of those that left is free")
                .extracting(HoldingQueue.QueuedRequest::request)
                .containsExactly("later");
        assertThat(line.isLate(next)).isTrue();
    }
}
