package org.rattanrudder.daemon.relay.serving;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.rattanrudder.core.fleet.EarlyRejection;
import org.rattanrudder.core.fleet.HoldingQueue;
import org.rattanrudder.core.fleet.QueueForecast;
import org.rattanrudder.core.fleet.QueueForecast.Forecast;
import org.rattanrudder.core.fleet.QueueForecast.Place;
import org.rattanrudder.core.fleet.ReturnTime;
import org.rattanrudder.core.fleet.ServiceCapacity;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.routing.Hashing;
import org.rattanrudder.daemon.relay.process.RelayState;

/**
 * Rejects requests early whose turn in their service's queue comes too late, if the settings say so. It keeps the
 * forecast of each service; without the setting it keeps nothing and rejects nothing.
 */
final class QueueRejection {
    /** How often waiting requests are looked at: short beside the objectives of prompts. */
    private static final long CHECK_MILLIS = 50;

    /** The reason by which a request ends that the queue itself rejects. */
    static final String LINE_TOO_LONG = "line too long";

    /** The reason by which a request that was rejected early ends. */
    static final String REASON = "turn comes too late";

    private final RelayState state;
    private final HoldingQueues queues;
    private final Map<String, QueueForecast> forecasts = new HashMap<>();
    private final Set<String> scheduledChecks = new HashSet<>();

    QueueRejection(RelayState state, HoldingQueues queues) {
        this.state = state;
        this.queues = queues;
    }

    /** Where a request is rejected. */
    enum Stage {
        /** Before its body is read. */
        HEAD,
        /** Before it joins the queue. */
        ARRIVAL,
        /** While it waits. */
        WAITING;

        String wireName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * Why a request is rejected, and when its caller should retry it.
     *
     * @param usefulMillis the time until sending the request is of no use
     */
    record Rejection(Stage stage, Forecast forecast, long usefulMillis, long retryAfterMillis) {}

    /** Returns whether requests are rejected early. */
    boolean isOn() {
        boolean on = state.settings().earlyRejection();
        if (!on && !forecasts.isEmpty()) {
            forecasts.clear();
        }
        return on;
    }

    /** Records that a request has joined or left the queue of a service. */
    void onQueueChanged(String service) {
        if (isOn()) {
            boolean waiting = queues.holdingQueue(service).size() > 0;
            forecast(service).onQueueChanged(waiting, state.nowMillis());
            if (waiting) {
                scheduleCheck(service);
            }
        }
    }

    /** Records that a request was sent while requests waited; it may have been one of them. */
    void onServed(RequestPlan plan, boolean late) {
        if (isOn() && queues.holdingQueue(plan.service()).size() > 0) {
            forecast(plan.service()).onServed(plan.priority(), late, plan.tokens(), state.nowMillis());
        }
    }

    /** Returns why a request is rejected whose head was read; empty if it is read on. */
    Optional<Rejection> onHead(RequestPlan plan) {
        HoldingQueue<Exchange> queue = queues.holdingQueue(plan.service());
        // A request that resumes a stream may run at other targets than those for which the others wait.
        boolean wouldWait = queue.size() > 0 && !plan.resumesStream() && !queue.allMatch(Exchange::isBound);
        if (!wouldWait || plan.candidates(state.nowMillis()).isEmpty()) {
            return Optional.empty();
        }
        return decide(plan, Stage.HEAD, plan.lateUntil(false, state.nowMillis()), new ExchangeLog(state, plan));
    }

    /**
     * Returns why a request is rejected that would join the queue; empty if it joins.
     *
     * @param lateUntil until when it would wait
     */
    Optional<Rejection> onArrival(RequestPlan plan, long lateUntil, ExchangeLog log) {
        return isOn() ? decide(plan, Stage.ARRIVAL, lateUntil, log) : Optional.empty();
    }

    private Optional<Rejection> decide(RequestPlan plan, Stage stage, long lateUntil, ExchangeLog log) {
        long now = state.nowMillis();
        Place place = new Place(plan.priority(), Math.max(now, plan.onTimeUntil()), lateUntil, plan.deadlineAt());
        EarlyRejection.Decision decision =
                EarlyRejection.onArrival(forecast(plan.service()), queues.holdingQueue(plan.service()), place, now);
        if (decision instanceof EarlyRejection.Rejected rejected) {
            state.metrics().recordForecast(plan.service(), decision.forecast());
            return Optional.of(rejection(plan, stage, rejected.reason(), place.usefulUntilMillis() - now, log));
        }
        // A request that is read on is decided again once it would queue.
        if (stage == Stage.ARRIVAL) {
            state.metrics().recordForecast(plan.service(), decision.forecast());
            log.forecast(decision.forecast());
        }
        return Optional.empty();
    }

    private Rejection rejection(RequestPlan plan, Stage stage, Forecast forecast, long usefulMillis, ExchangeLog log) {
        Rejection rejection = new Rejection(stage, forecast, usefulMillis, retryAfterMillis(plan, forecast));
        state.metrics().recordRejectedEarly(plan.service(), stage.wireName());
        log.rejectedEarly(rejection);
        return rejection;
    }

    private long retryAfterMillis(RequestPlan plan, Forecast forecast) {
        long hash = plan.id().isEmpty() ? state.random().nextLong() : Hashing.of(plan.id());
        return ReturnTime.millis(
                forecast,
                new ReturnTime.Caller(
                        hash,
                        plan.route().objectiveMillis(),
                        state.nowMillis() - plan.arrivedAt(),
                        plan.remainingMillis(),
                        neededMillis(plan)));
    }

    /** Returns the time that a target at the usual pace needs until its first byte, in ms. */
    private long neededMillis(RequestPlan plan) {
        if (plan.engine().isEmpty()) {
            return (long) plan.callMillis().millis();
        }
        ServiceCapacity capacity = state.fleet().capacity(plan.service());
        long now = state.nowMillis();
        return (long) (capacity.baseMillis(now) + plan.metadata().promptTokens() / capacity.prefillTokensPerMilli(now));
    }

    /** Rejects a request that the queue itself has removed; a forecast says when to retry it, if there is one. */
    void refuseExpired(Exchange exchange) {
        Optional<Forecast> forecast =
                isOn() && exchange.mayBeRejectedEarly() ? forecastNow(exchange.plan()) : Optional.empty();
        if (forecast.isPresent()) {
            exchange.refuseUntil(LINE_TOO_LONG, retryAfterMillis(exchange.plan(), forecast.get()));
        } else {
            exchange.refuse(ErrorKind.OVERLOADED, LINE_TOO_LONG);
        }
    }

    /** Returns when a request would be sent if it joined the queue now. */
    private Optional<Forecast> forecastNow(RequestPlan plan) {
        long now = state.nowMillis();
        Place place = new Place(
                plan.priority(), Math.max(now, plan.onTimeUntil()), plan.lateUntil(false, now), plan.deadlineAt());
        return forecast(plan.service()).forecast(queues.holdingQueue(plan.service()), place, now);
    }

    private void scheduleCheck(String service) {
        if (scheduledChecks.add(service)) {
            state.loop().schedule(() -> check(service), CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Rejects those of a service's waiting requests whose turn comes too late. */
    private void check(String service) {
        scheduledChecks.remove(service);
        HoldingQueue<Exchange> queue = queues.holdingQueue(service);
        if (!isOn() || queue.size() == 0) {
            return;
        }
        long now = state.nowMillis();
        EarlyRejection.rejectWaiting(forecast(service), queue, Exchange::mayBeRejectedEarly, now)
                .forEach(this::refuse);
        if (queue.size() > 0) {
            scheduleCheck(service);
        }
    }

    private void refuse(EarlyRejection.RejectedWaiting<Exchange> rejected) {
        HoldingQueue.QueuedRequest<Exchange> queued = rejected.queued();
        long useful = Math.min(queued.lateUntilMillis(), queued.deadlineMillis()) - state.nowMillis();
        RequestPlan plan = queued.request().plan();
        Rejection rejection = rejection(plan, Stage.WAITING, rejected.reason(), useful, new ExchangeLog(state, plan));
        queued.request().refuseUntil(REASON, rejection.retryAfterMillis());
    }

    private QueueForecast forecast(String service) {
        return forecasts.computeIfAbsent(service, unseen -> new QueueForecast());
    }
}
