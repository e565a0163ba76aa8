package org.rattanrudder.core.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.IntToDoubleFunction;
import org.rattanrudder.core.fleet.QueueForecast.Forecast;
import org.rattanrudder.core.fleet.QueueForecast.Place;
import org.rattanrudder.core.routing.Hashing;

/**
 * An overloaded service without a network: relays with a queue each, engines that compute one request after the other,
 * two priorities, 24 customers of uneven size, sizes with a long tail, and callers that retry.
 */
final class OverloadPlay {
    static final int CUSTOMERS = 24;

    private static final int RELAYS = 10;
    private static final int ENGINES = 6;
    private static final double TOKENS_PER_MILLI = 40;
    private static final double BASE_MILLIS = 15;
    private static final double MEDIAN_TOKENS = 800;
    private static final double SIZE_SIGMA = 1.2;
    private static final int MAX_TOKENS = 40_000;
    private static final long[] OBJECTIVES = {800, 1_200};
    private static final long[] DEADLINES = {5_000, 10_000};

    /** Work that may await an engine, so that it is busy until the next request arrives. */
    private static final long ENGINE_BACKLOG_MILLIS = 30;

    private static final long NETWORK_MILLIS = 2;
    private static final long NEEDED_MILLIS = 80;
    private static final int HASTY_RETRIES = 3;
    private static final long CHECK_MILLIS = 50;
    private static final long EXPIRE_MILLIS = 5;
    private static final long LENGTH_MILLIS = 60_000;

    /** When a rejected caller is asked to retry. */
    @FunctionalInterface
    interface ReturnRule {
        long millis(Optional<Forecast> forecast, Call call, long now, Random random);
    }

    /** The rule without early rejection: a random time, less for callers with little time. */
    static final ReturnRule RANDOM = (forecast, call, now, random) -> {
        double longest = Math.min(700, 0.3 * call.remaining(now));
        return (long) (longest * (2 + 5 * random.nextDouble()) / 7);
    };

    /** The time of the request's turn. */
    static final ReturnRule TURN = (forecast, call, now, random) -> forecast.isEmpty()
            ? RANDOM.millis(forecast, call, now, random)
            : (long) Math.min(0.32 * call.remaining(now), forecast.get().waitMillis());

    /** A time within the turn that a hash of the request's ID selects. */
    static final ReturnRule TURN_SLOT = (forecast, call, now, random) -> forecast.isEmpty()
            ? RANDOM.millis(forecast, call, now, random)
            : ReturnTime.millis(
                    forecast.get(),
                    new ReturnTime.Caller(Hashing.mix(call.id), 0, 0, call.remaining(now), NEEDED_MILLIS));

    /** A time that a hash of the request's ID selects, within the objective if that can still be met. */
    static final ReturnRule SLOT = (forecast, call, now, random) -> forecast.isEmpty()
            ? RANDOM.millis(forecast, call, now, random)
            : ReturnTime.millis(
                    forecast.get(),
                    new ReturnTime.Caller(
                            Hashing.mix(call.id),
                            OBJECTIVES[call.priority],
                            now - call.joinedAt,
                            call.remaining(now),
                            NEEDED_MILLIS));

    /**
     * What is played.
     *
     * @param early whether requests are rejected early
     * @param returns when rejected callers return
     * @param urgentShare the share of requests of priority 0
     * @param load the offered load at a second, as a multiple of the capacity, without retries
     * @param seed the seed of all random choices
     */
    record Settings(boolean early, ReturnRule returns, double urgentShare, IntToDoubleFunction load, long seed) {}

    /** One caller's request with its attempts. */
    static final class Call {
        final long id;
        final int customer;
        final int priority;
        final int tokens;
        final long begunAt;
        int attempts;
        int relay;
        long joinedAt;
        long endedAt = -1;
        boolean served;

        Call(long id, int customer, int priority, int tokens, long begunAt) {
            this.id = id;
            this.customer = customer;
            this.priority = priority;
            this.tokens = tokens;
            this.begunAt = begunAt;
        }

        long deadline() {
            return begunAt + DEADLINES[priority];
        }

        long remaining(long now) {
            return deadline() - now;
        }

        boolean isHasty() {
            return customer % 4 == 1;
        }

        boolean onTime() {
            return served && endedAt - begunAt <= OBJECTIVES[priority];
        }
    }

    private record Event(long at, long sequence, Call call) {}

    private final Settings settings;
    private final Random random;
    private final List<HoldingQueue<Call>> queues = new ArrayList<>();
    private final List<QueueForecast> forecasts = new ArrayList<>();
    private final PriorityQueue<Event> arrivals =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));
    private final double[] engineBusyUntil = new double[ENGINES];
    private final double[] customerShares = new double[CUSTOMERS];
    private final List<Call> calls = new ArrayList<>();
    private long sequence;
    private int attempts;
    private int wastedAttempts;

    private OverloadPlay(Settings settings) {
        this.settings = settings;
        random = new Random(settings.seed);
        for (int relay = 0; relay < RELAYS; relay++) {
            queues.add(new HoldingQueue<>());
            forecasts.add(new QueueForecast());
        }
        double sum = 0;
        for (int customer = 0; customer < CUSTOMERS; customer++) {
            sum += 1.0 / (customer + 1);
            customerShares[customer] = sum;
        }
        for (int customer = 0; customer < CUSTOMERS; customer++) {
            customerShares[customer] /= sum;
        }
    }

    /**
     * All calls and what they cost.
     *
     * @param calls the calls, in the order in which they began
     * @param attempts how many attempts relays got
     * @param wastedAttempts how many of these they rejected
     */
    record Outcome(List<Call> calls, int attempts, int wastedAttempts) {}

    /** Plays the whole length. */
    static Outcome play(Settings settings) {
        return new OverloadPlay(settings).run();
    }

    private Outcome run() {
        for (long now = 0; now < LENGTH_MILLIS + DEADLINES[1]; now++) {
            if (now < LENGTH_MILLIS) {
                arrive(now);
            }
            while (!arrivals.isEmpty() && arrivals.peek().at <= now) {
                join(arrivals.poll().call, now);
            }
            if (now % EXPIRE_MILLIS == 0) {
                expire(now);
            }
            dispatch(now);
        }
        return new Outcome(calls, attempts, wastedAttempts);
    }

    private void arrive(long now) {
        double perMilli = settings.load.applyAsDouble((int) (now / 1_000)) * ENGINES / meanMillis();
        double due = random.nextDouble();
        for (double left = perMilli; left > 0; left--) {
            if (due < left) {
                Call call = newCall(now);
                calls.add(call);
                call.relay = random.nextInt(RELAYS);
                arrivals.add(new Event(now + NETWORK_MILLIS, sequence++, call));
            }
        }
    }

    private Call newCall(long now) {
        double drawn = random.nextDouble();
        int customer = 0;
        while (customerShares[customer] < drawn) {
            customer++;
        }
        int priority = random.nextDouble() < settings.urgentShare ? 0 : 1;
        int tokens = (int) Math.min(MAX_TOKENS, 50 + MEDIAN_TOKENS * Math.exp(SIZE_SIGMA * random.nextGaussian()));
        return new Call(calls.size(), customer, priority, tokens, now);
    }

    private static double millis(int tokens) {
        return BASE_MILLIS + tokens / TOKENS_PER_MILLI;
    }

    private static double meanMillis() {
        return BASE_MILLIS + (50 + MEDIAN_TOKENS * Math.exp(SIZE_SIGMA * SIZE_SIGMA / 2)) / TOKENS_PER_MILLI;
    }

    private void join(Call call, long now) {
        attempts++;
        call.attempts++;
        call.joinedAt = now;
        HoldingQueue<Call> queue = queues.get(call.relay);
        if (queue.size() == 0 && sendToFreeEngine(call, now)) {
            return;
        }
        long objective = OBJECTIVES[call.priority];
        Place place = new Place(call.priority, now + objective / 2, now + 2 * objective, call.deadline());
        QueueForecast forecast = forecasts.get(call.relay);
        if (settings.early
                && EarlyRejection.onArrival(forecast, queue, place, now) instanceof EarlyRejection.Rejected rejected) {
            reject(call, Optional.of(rejected.reason()), now);
            return;
        }
        queue.add(
                call,
                call.priority,
                call.tokens,
                place.onTimeUntilMillis(),
                place.lateUntilMillis(),
                place.deadlineMillis());
        forecast.onQueueChanged(true, now);
    }

    private boolean sendToFreeEngine(Call call, long now) {
        for (int engine = 0; engine < ENGINES; engine++) {
            if (engineBusyUntil[engine] < now + ENGINE_BACKLOG_MILLIS) {
                engineBusyUntil[engine] = Math.max(engineBusyUntil[engine], now) + millis(call.tokens);
                call.endedAt = (long) engineBusyUntil[engine] + NETWORK_MILLIS;
                call.served = call.endedAt <= call.deadline();
                return true;
            }
        }
        return false;
    }

    /** Rejects what waits for too long. */
    private void expire(long now) {
        for (int relay = 0; relay < RELAYS; relay++) {
            HoldingQueue<Call> queue = queues.get(relay);
            if (queue.size() == 0) {
                continue;
            }
            QueueForecast forecast = forecasts.get(relay);
            queue.expire(now, HoldingQueue.maxLateTokens(ENGINES, RELAYS))
                    .forEach(queued -> rejectQueued(queued, forecast, queue, now));
            queue.removeIf(call -> call.deadline() <= now).forEach(call -> call.endedAt = now);
            if (settings.early && now % CHECK_MILLIS == 0) {
                EarlyRejection.rejectWaiting(forecast, queue, call -> true, now)
                        .forEach(rejected -> reject(rejected.queued().request(), Optional.of(rejected.reason()), now));
            }
            forecast.onQueueChanged(queue.size() > 0, now);
        }
    }

    private void rejectQueued(
            HoldingQueue.QueuedRequest<Call> queued, QueueForecast forecast, HoldingQueue<Call> queue, long now) {
        long objective = OBJECTIVES[queued.priority()];
        Place place = new Place(queued.priority(), now + objective / 2, now + 2 * objective, queued.deadlineMillis());
        reject(queued.request(), forecast.forecast(queue, place, now), now);
    }

    private void reject(Call call, Optional<Forecast> forecast, long now) {
        wastedAttempts++;
        long returnAt = now + (call.isHasty() ? 0 : settings.returns.millis(forecast, call, now, random));
        if (call.attempts > (call.isHasty() ? HASTY_RETRIES : 1) || returnAt >= call.deadline()) {
            call.endedAt = now;
            return;
        }
        call.relay = (call.relay + 1 + random.nextInt(RELAYS - 1)) % RELAYS;
        arrivals.add(new Event(returnAt + 2 * NETWORK_MILLIS, sequence++, call));
    }

    /** Sends the first of the relays' queues to engines with room, relays in turn. */
    private void dispatch(long now) {
        boolean sent = true;
        while (sent) {
            sent = false;
            int first = random.nextInt(RELAYS);
            for (int turn = 0; turn < RELAYS && !sent; turn++) {
                int relay = (first + turn) % RELAYS;
                sent = dispatchFirst(queues.get(relay), forecasts.get(relay), now);
            }
        }
    }

    private boolean dispatchFirst(HoldingQueue<Call> queue, QueueForecast forecast, long now) {
        Optional<HoldingQueue.QueuedRequest<Call>> first = queue.first();
        if (first.isEmpty() || !sendToFreeEngine(first.get().request(), now)) {
            return false;
        }
        HoldingQueue.QueuedRequest<Call> queued = first.get();
        forecast.onServed(queued.priority(), queue.isLate(queued), queued.tokens(), now);
        queue.remove(queued);
        forecast.onQueueChanged(queue.size() > 0, now);
        return true;
    }
}
