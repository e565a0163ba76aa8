package org.rattanrudder.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HoldingQueueTest {
    private static final long LATE_TOKENS = 20_000;

    private final HoldingQueue<String> queue = new HoldingQueue<>();

    @Test
    void ordersByPriorityThenByRemainingTime() {
        queue.add("later", 1, 100, 300, 2_000, 4_000);
        queue.add("soon", 1, 100, 200, 2_000, 4_000);
        queue.add("urgent", 0, 100, 900, 2_000, 4_000);

        assertThat(queue.first())
                .get()
                .extracting(HoldingQueue.QueuedRequest::request)
                .isEqualTo("urgent");
        queue.remove(queue.first().orElseThrow());
        assertThat(queue.first())
                .get()
                .extracting(HoldingQueue.QueuedRequest::request)
                .isEqualTo("soon");
    }

    /** Guards against requests that wait for nothing behind one that may run at a few full targets only. */
    @ParameterizedTest
    @CsvSource({
        "'', 'bound,large,small'",
        "small, 'bound,large,small'",
        "large, 'bound,small'",
        "'large,small', bound",
        "'bound,large,small', ''"
    })
    void othersAreDispatchedPastARequestThatMayBePassedButNotPastOneThatMayNot(String fitting, String left) {
        queue.add("bound", 0, 100, 900, 2_000, 4_000);
        queue.add("large", 1, 100, 900, 2_000, 4_000);
        queue.add("small", 2, 100, 900, 2_000, 4_000);

        queue.dispatch(
                request -> fitting.contains(request)
                        && queue.removeIf(request::equals).size() == 1,
                request -> request.equals("bound"));

        assertThat(String.join(",", queue.removeIf(request -> true))).isEqualTo(left);
    }

    @Test
    void itIsKnownWhetherAllThatWaitMayBePassed() {
        assertThat(queue.allMatch("bound"::equals)).isTrue();
        queue.add("bound", 0, 100, 900, 2_000, 4_000);
        assertThat(queue.allMatch("bound"::equals)).isTrue();
        queue.add("other", 0, 100, 900, 2_000, 4_000);
        assertThat(queue.allMatch("bound"::equals)).isFalse();
    }

    @Test
    void matchingRequestsAreRemovedAndFreeTheirTokens() {
        queue.add("late", 0, 9_000, 100, 2_000, 4_000);
        queue.add("on time", 0, 9_000, 900, 2_000, 4_000);
        queue.expire(200, LATE_TOKENS);

        assertThat(queue.removeIf(request -> true)).containsExactly("on time", "late");
        assertThat(queue.size()).isZero();

        queue.add("next late", 0, 18_000, 300, 2_000, 4_000);
        assertThat(queue.expire(400, LATE_TOKENS)).isEmpty();
    }

    /**
     * Twice as many requests arrive as the engines can serve. Dispatched in order, each would wait for all those before
     * it, and all would be late, those of the highest priority too.
     */
    @Test
    void lateRequestsQueueBehindOnTimeOnesAndAreBounded() {
        queue.add("first late", 0, 9_000, 100, 2_000, 4_000);
        queue.add("second late", 0, 9_000, 110, 2_000, 4_000);
        queue.add("third late", 0, 9_000, 120, 2_000, 4_000);
        queue.add("on time", 3, 9_000, 500, 2_000, 4_000);

        assertThat(queue.expire(200, LATE_TOKENS))
                .extracting(HoldingQueue.QueuedRequest::request)
                .containsExactly("third late");
        assertThat(queue.first())
                .get()
                .extracting(HoldingQueue.QueuedRequest::request)
                .isEqualTo("on time");
        queue.remove(queue.first().orElseThrow());
        assertThat(queue.first())
                .get()
                .extracting(HoldingQueue.QueuedRequest::request)
                .isEqualTo("first late");
        queue.remove(queue.first().orElseThrow());
        queue.add("fourth late", 0, 9_000, 210, 2_000, 4_000);
        assertThat(queue.expire(300, LATE_TOKENS)).isEmpty();
        assertThat(queue.size()).isEqualTo(2);
    }

    /**
     * Thirty relays wait for 35 engines. When each admitted as many late requests as if it had the engines to itself,
     * requests waited at the relay until their deadlines and were never sent to an engine.
     */
    @ParameterizedTest
    @CsvSource({"6, 3", "8, 6", "35, 27", "40, 31", "1000, 130"})
    void totalLateTokensDoNotGrowWithNumberOfRelays(int engines, int relays) {
        long total = relays * HoldingQueue.maxLateTokens(engines, relays);

        assertThat(total / engines).isBetween(35_000L, 40_000L);
    }

    /**
     * Late requests wait behind on-time ones that take all capacity. Their callers give up one by one, although a
     * request that had been rejected sooner would have been served on its retry.
     */
    @Test
    void lateRequestThatWaitsTooLongIsRefused() {
        HoldingQueue<String> queue = new HoldingQueue<>();
        queue.add("late", 0, 9_000, 100, 1_000, 4_000);
        queue.add("later", 0, 9_000, 100, 1_100, 4_000);
        assertThat(queue.expire(100, 40_000)).isEmpty();

        assertThat(queue.expire(1_000, 40_000))
                .extracting(HoldingQueue.QueuedRequest::request)
                .containsExactly("late");

        assertThat(queue.size()).isEqualTo(1);
        assertThat(queue.expire(1_099, 40_000)).isEmpty();
        HoldingQueue.QueuedRequest<String> next = queue.add("next", 0, 31_000, 1_050, 2_000, 4_000);
        assertThat(queue.expire(1_100, 40_000))
                .as("capacity of removed requests is free")
                .extracting(HoldingQueue.QueuedRequest::request)
                .containsExactly("later");
        assertThat(queue.isLate(next)).isTrue();
    }
}
