package org.rattanrudder.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.rattanrudder.core.fleet.QueueForecast.Forecast;
import org.rattanrudder.core.fleet.QueueForecast.Place;

/**
 * Decides which requests of a service's queue are rejected because they can't be sent while that is of use.
 *
 * <p>A request's size, customer and session don't count, only its place in the queue's own order; requests with the
 * same place are treated alike. More urgent requests are ahead of less urgent ones, and the forecast counts on all that
 * less urgent ones are given now: a request is never rejected because of less urgent ones while what is ahead of it
 * lets it be sent on time. A request with nothing ahead of it is never rejected, so that a rate that was measured in a
 * bad moment is measured again.
 */
public final class EarlyRejection {
    private EarlyRejection() {}

    /** What happens to a request that would join the queue. */
    public sealed interface Decision {
        /** Returns the forecast; empty while too little is known. */
        Optional<Forecast> forecast();
    }

    /** The request joins the queue. */
    public record Waits(Optional<Forecast> forecast) implements Decision {}

    /** The request is rejected. */
    public record Rejected(Forecast reason) implements Decision {
        @Override
        public Optional<Forecast> forecast() {
            return Optional.of(reason);
        }
    }

    /** Decides on a request before it joins the queue. */
    public static Decision onArrival(QueueForecast forecasts, HoldingQueue<?> queue, Place place, long nowMillis) {
        Optional<Forecast> forecast = forecasts.forecast(queue, place, nowMillis);
        return forecast.<Decision>filter(found -> isTooLate(found, place, nowMillis))
                        .isPresent()
                ? new Rejected(forecast.get())
                : new Waits(forecast);
    }

    private static boolean isTooLate(Forecast forecast, Place place, long nowMillis) {
        return forecast.ahead().requests() > 0 && nowMillis + forecast.waitMillis() > place.usefulUntilMillis();
    }

    /**
     * A queued request that is rejected.
     *
     * @param queued the request, which is no longer queued
     * @param reason when it would have been sent
     * @param <T> the type of requests
     */
    public record RejectedWaiting<T>(HoldingQueue.QueuedRequest<T> queued, Forecast reason) {}

    /**
     * Removes and returns the queued requests that can no longer be sent while that is of use. The queue is walked
     * once; what is rejected is no longer ahead of those behind it.
     *
     * @param mayReject returns whether a request may be rejected: one that may have run at a target waits on
     */
    public static <T> List<RejectedWaiting<T>> rejectWaiting(
            QueueForecast forecasts, HoldingQueue<T> queue, Predicate<T> mayReject, long nowMillis) {
        if (!forecasts.isKnown(nowMillis)) {
            return List.of();
        }
        // A request is removed once it is hopeless as a late one too, so there is one reason for each that is removed.
        List<Forecast> reasons = new ArrayList<>();
        List<HoldingQueue.QueuedRequest<T>> rejected = queue.removeHopeless((queued, late, requests, tokens) -> {
            long wait = forecasts.waitMillis(requests, tokens, queued.priority(), late);
            long until =
                    late ? Math.min(queued.lateUntilMillis(), queued.deadlineMillis()) : queued.onTimeUntilMillis();
            boolean hopeless = requests > 0 && nowMillis + wait > until && mayReject.test(queued.request());
            if (hopeless && late) {
                HoldingQueue.Work ahead = new HoldingQueue.Work(requests, tokens);
                reasons.add(forecasts.forecast(wait, true, ahead, queued.priority(), nowMillis));
            }
            return hopeless;
        });
        return IntStream.range(0, rejected.size())
                .mapToObj(index -> new RejectedWaiting<>(rejected.get(index), reasons.get(index)))
                .toList();
    }
}
