package org.rattanrudder.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanrudder.core.fleet.QueueForecast.Forecast;
import org.rattanrudder.core.fleet.QueueForecast.Place;

class QueueForecastTest {
    private static final int TOKENS = 100;

    private final QueueForecast forecasts = new QueueForecast();
    private final HoldingQueue<Integer> queue = new HoldingQueue<>();

    /** Serves a request of the priority each {@code gapMillis} while requests wait; returns the time of the last. */
    private long serve(int count, long gapMillis, int priority, int tokens, long from) {
        forecasts.onQueueChanged(true, from);
        for (int served = 1; served <= count; served++) {
            forecasts.onServed(priority, false, tokens, from + served * gapMillis);
        }
        return from + count * gapMillis;
    }

    private void enqueue(int count, int priority) {
        for (int number = 0; number < count; number++) {
            queue.add(number, priority, TOKENS, 100_000, 200_000, 300_000);
        }
    }

    private long waitOf(int priority, long now) {
        return forecasts
                .forecast(queue, new Place(priority, 100_000, 200_000, 300_000), now)
                .map(Forecast::waitMillis)
                .orElse(-1L);
    }

    @ParameterizedTest
    @CsvSource({
        "20, 50, 0, 500",
        "20, 100, 0, 1000",
        "20, 50, 2000, 500",
        "20, 50, 2001, -1",
        "3, 50, 0, -1",
        "5, 5, 0, -1"
    })
    void waitFollowsFromTheLatestRateAndIsUnknownWhileTooLittleIsKnown(
            int served, long gapMillis, long age, long expected) {
        enqueue(10, 0);

        assertThat(waitOf(0, serve(served, gapMillis, 0, TOKENS, 0) + age)).isCloseTo(expected, within(10L));
    }

    /** Engines free up together, so dispatches come in bursts; the rate of a burst alone would be endless. */
    @Test
    void burstCountsWithTheWaitBeforeIt() {
        enqueue(10, 0);
        forecasts.onQueueChanged(true, 0);
        for (int served = 0; served < 40; served++) {
            forecasts.onServed(0, false, TOKENS, (served / 10 + 1) * 500);
        }

        assertThat(waitOf(0, 2_000)).isCloseTo(500L, within(20L));
    }

    /** With the idle time counted, a queue that is empty most of the time would seem to be served slowly. */
    @Test
    void timeWithoutWaitingRequestsDoesNotCount() {
        long now = 0;
        for (int wait = 0; wait < 30; wait++) {
            now = serve(1, 20, 0, TOKENS, now);
            forecasts.onQueueChanged(false, now);
            now += 300;
        }
        enqueue(10, 0);
        forecasts.onQueueChanged(true, now);

        assertThat(waitOf(0, now)).isCloseTo(200L, within(10L));
    }

    /** What more urgent requests take keeps coming while a less urgent one waits. */
    @Test
    void lessUrgentRequestsCountOnWhatMoreUrgentOnesLeave() {
        forecasts.onQueueChanged(true, 0);
        for (int served = 1; served <= 100; served++) {
            forecasts.onServed(served % 4 == 0 ? 1 : 0, false, TOKENS, served * 10L);
        }
        enqueue(10, 0);

        assertThat(waitOf(0, 1_000)).isCloseTo(100L, within(5L));
        assertThat(waitOf(1, 1_000)).isCloseTo(400L, within(20L));
    }

    /** Requests of a plain service have no tokens. */
    @ParameterizedTest
    @ValueSource(ints = {0, TOKENS})
    void requestsWithoutTokensAreForecastByNumber(int tokens) {
        for (int number = 0; number < 10; number++) {
            queue.add(number, 0, tokens, 100_000, 200_000, 300_000);
        }

        assertThat(waitOf(0, serve(20, 50, 0, tokens, 0))).isCloseTo(500L, within(10L));
    }

    /** The targets crash and others come back: what was served before says nothing of them. */
    @Test
    void rateIsForgottenOnceItIsTooOld() {
        enqueue(10, 0);
        long last = serve(100, 10, 0, TOKENS, 0);
        forecasts.onServed(0, false, TOKENS, last + QueueForecast.MAX_AGE_MILLIS + 1);

        assertThat(waitOf(0, last + QueueForecast.MAX_AGE_MILLIS + 1)).isEqualTo(-1);
    }

    @Test
    void forecastTellsWhatItWasTakenFrom() {
        enqueue(4, 0);
        enqueue(3, 2);
        long last = serve(50, 20, 0, TOKENS, 0);
        waitOf(2, last);

        Forecast forecast = forecasts
                .forecast(queue, new Place(0, 100_000, 200_000, 300_000), last + 30)
                .orElseThrow();

        assertThat(forecast.ahead()).isEqualTo(new HoldingQueue.Work(4, 400));
        assertThat(forecast.requestsPerSecond()).isCloseTo(50, within(1.0));
        assertThat(forecast.tokensPerSecond()).isCloseTo(5_000, within(100.0));
        assertThat(forecast.ageMillis()).isEqualTo(30);
        assertThat(forecast.rank()).isZero();
        assertThat(forecast.ranks()).isEqualTo(2);
    }
}
