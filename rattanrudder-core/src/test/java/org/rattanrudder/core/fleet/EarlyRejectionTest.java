package org.rattanrudder.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanrudder.core.fleet.QueueForecast.Place;

class EarlyRejectionTest {
    /** The queue is served each 50 ms, up to this time. */
    private static final long NOW = 2_000;

    private final QueueForecast forecasts = new QueueForecast();
    private final HoldingQueue<Integer> queue = new HoldingQueue<>();

    @BeforeEach
    void serve() {
        forecasts.onQueueChanged(true, 0);
        for (long at = 50; at <= NOW; at += 50) {
            forecasts.onServed(1, at % 100 == 0, 1_000, at);
        }
    }

    private void enqueue(int count, int priority, int tokens) {
        for (int number = 0; number < count; number++) {
            queue.add(number, priority, tokens, NOW + 400, NOW + 1_600, NOW + 5_000);
        }
    }

    private boolean rejects(int priority, long lateUntil, long deadline) {
        Place place = new Place(priority, NOW + 400, lateUntil, deadline);
        return EarlyRejection.onArrival(forecasts, queue, place, NOW) instanceof EarlyRejection.Rejected;
    }

    @ParameterizedTest
    @CsvSource({
        "0, 1600, 5000, false",
        "7, 1600, 5000, false",
        "60, 1600, 5000, true",
        "14, 1600, 5000, false",
        "14, 1600, 1000, true",
        "60, 20000, 20000, false"
    })
    void requestIsRejectedOnArrivalIfItsTurnComesWhenItIsOfNoUse(
            int ahead, long lateUntil, long deadline, boolean rejected) {
        enqueue(ahead, 1, 1_000);

        assertThat(rejects(1, NOW + lateUntil, NOW + deadline)).isEqualTo(rejected);
    }

    /** Less urgent requests fill the queue; a more urgent class would be served less than they are. */
    @Test
    void lessUrgentRequestsDoNotCauseTheRejectionOfAMoreUrgentOne() {
        enqueue(500, 2, 1_000);

        assertThat(rejects(2, NOW + 1_600, NOW + 5_000)).isTrue();
        assertThat(rejects(1, NOW + 1_600, NOW + 5_000)).isFalse();
    }

    @Test
    void lastRequestOfThoseThatCanNotBeSentInTimeAreRemovedWhileWaiting() {
        enqueue(60, 1, 1_000);
        // Of 60 requests 8 can be sent in the 400 ms in which they are on time; for late ones half of the rate is left.
        List<EarlyRejection.RejectedWaiting<Integer>> rejected =
                EarlyRejection.rejectWaiting(forecasts, queue, request -> true, NOW);

        assertThat(rejected).extracting(each -> each.queued().request()).isSubsetOf(range(9, 60));
        assertThat(rejected)
                .as("each is told what was ahead of it")
                .allMatch(
                        each -> NOW + each.reason().waitMillis() > each.queued().lateUntilMillis());
        assertThat(queue.size()).isBetween(9, 18);
        assertThat(EarlyRejection.rejectWaiting(forecasts, queue, request -> true, NOW))
                .as("those that stay have their time")
                .isEmpty();
    }

    private static List<Integer> range(int from, int until) {
        return IntStream.range(from, until).boxed().toList();
    }

    /** A 503 says that a request hasn't run: one that may have run at a target waits on. */
    @Test
    void requestThatMayHaveRunIsNotRejectedWhileWaiting() {
        enqueue(60, 1, 1_000);

        assertThat(EarlyRejection.rejectWaiting(forecasts, queue, request -> request % 2 == 0, NOW))
                .isNotEmpty()
                .allMatch(rejected -> rejected.queued().request() % 2 == 0);
    }

    /** A large request is rejected no sooner than a small one at its place. */
    @ParameterizedTest
    @ValueSource(ints = {1, 40_000})
    void ownSizeDoesNotCount(int tokens) {
        enqueue(8, 1, 1_000);
        queue.add(-1, 1, tokens, NOW + 401, NOW + 1_600, NOW + 5_000);

        assertThat(EarlyRejection.rejectWaiting(forecasts, queue, request -> true, NOW))
                .isEmpty();
    }

    /** Sums by spans of time must match the queue's own order, or forecasts drift from it. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void whatIsAheadMatchesTheQueueItself(long seed) {
        Random random = new Random(seed);
        List<HoldingQueue.QueuedRequest<Integer>> waiting = new ArrayList<>();
        for (int step = 0; step < 2_000; step++) {
            long until = QueueBacklog.SPAN_MILLIS * random.nextInt(60);
            int priority = random.nextInt(3);
            assertThat(queue.aheadOf(priority, until).requests()).isEqualTo((int) waiting.stream()
                    .filter(queued -> !queue.isLate(queued))
                    .filter(queued -> queued.priority() < priority
                            || queued.priority() == priority && queued.onTimeUntilMillis() <= until)
                    .count());
            if (random.nextInt(3) > 0) {
                waiting.add(queue.add(step, priority, random.nextInt(900), until, until + 500, until + 1_000));
            } else if (!waiting.isEmpty()) {
                queue.remove(waiting.remove(random.nextInt(waiting.size())));
            }
            waiting.removeAll(queue.expire(step / 2, 20_000));
            assertThat(queue.aheadOfLate(2, Long.MAX_VALUE / 2))
                    .isEqualTo(new HoldingQueue.Work(
                            waiting.size(),
                            waiting.stream()
                                    .mapToLong(HoldingQueue.QueuedRequest::tokens)
                                    .sum()));
        }
    }
}
