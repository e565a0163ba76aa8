package org.rattanrudder.daemon.relay.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.core.rollout.OrderLease;
import org.rattanrudder.core.rollout.RolloutPlanner;
import org.rattanrudder.daemon.relay.net.CallResult;
import org.rattanrudder.daemon.relay.net.HttpCallClient;
import org.rattanrudder.daemon.relay.port.EngineDialect.EngineReport;
import org.rattanrudder.daemon.relay.port.EngineDialect.LoadOrder;
import org.rattanrudder.daemon.relay.port.WeightsVersion;
import org.rattanrudder.daemon.relay.process.RelayState;
import org.rattanrudder.daemon.relay.targets.SelfReports;

/**
 * Calls engines to order them to load weights, and to look how far they are.
 *
 * <p>An engine is called once at a time. It is ordered only while the lease is held, after a report that shows that it
 * has older weights and isn't loading.
 */
final class OrderSender {
    /** How long an engine gets no new work after an order; weights usually load within this time. */
    private static final long LOAD_MILLIS = 5_000;

    /**
     * Delay between an order and the first check of its progress, and the interval of further checks. An engine's
     * report is some 100 ms old, the shortest load takes 900 ms, and each check costs as much as a health check.
     */
    private static final long FIRST_PROGRESS_CHECK_MILLIS = 900;

    private static final long PROGRESS_CHECK_INTERVAL_MILLIS = 200;
    private static final long ENGINE_TIMEOUT_MILLIS = 900;

    /** The same for an engine that was last asked in vain: a busy one may take seconds for a report. */
    private static final long SLOW_ENGINE_TIMEOUT_MILLIS = 3_000;

    /**
     * How long a report is used that came too late for the lease. An order names the count of orders that the report
     * gave, so that an engine that was ordered since refuses it.
     */
    private static final long REPORT_VALID_MILLIS = 4_000;

    private final RelayState state;
    private final SelfReports selfReports;
    private final OrderLease lease;
    private final RolloutLog rolloutLog;
    private final Map<String, Long> progressChecksDueAt = new HashMap<>();
    private final Map<String, Integer> reportedInFlight = new HashMap<>();
    private final Map<String, KeptReport> keptReports = new HashMap<>();
    private final Set<String> targetsBeingCalled = new HashSet<>();

    /** A report of an engine that couldn't be ordered when it came, since the lease was over by then. */
    private record KeptReport(EngineReport report, long at) {
        boolean isUsable(long now) {
            return now - at < REPORT_VALID_MILLIS;
        }
    }

    OrderSender(RelayState state, SelfReports selfReports, OrderLease lease, RolloutLog rolloutLog) {
        this.state = state;
        this.selfReports = selfReports;
        this.lease = lease;
        this.rolloutLog = rolloutLog;
    }

    /** Returns whether an engine can be called now; a record of the lease is written for nothing otherwise. */
    boolean mayCall(Target target, long now) {
        return state.admission().mayCall(target, now) && !targetsBeingCalled.contains(target.id());
    }

    /** Returns whether an engine is being called right now. */
    boolean isCalling(Target target) {
        return targetsBeingCalled.contains(target.id());
    }

    /** Returns whether an engine was ordered and is looked at until it serves its new weights. */
    boolean isLookedAt(Target target) {
        return progressChecksDueAt.containsKey(target.id());
    }

    /**
     * Returns the requests in flight at an engine: its own report while its progress is checked, else the relays'
     * count.
     */
    int inFlight(Target target) {
        Integer reported = reportedInFlight.get(target.id());
        return reported != null && progressChecksDueAt.containsKey(target.id())
                ? reported
                : target.requests(state.nowMillis());
    }

    /** Returns whether an engine can be ordered at once, since its report came when the lease was over. */
    boolean awaitsOrder(Target target, WeightsVersion weights, long now) {
        KeptReport kept = keptReports.get(target.id());
        return kept != null
                && kept.isUsable(now)
                && target.weights(weights.model()) < weights.version()
                && mayCall(target, now);
    }

    /** Asks an engine for its report, and orders it to load weights if it hasn't and isn't loading. */
    void order(Target target, WeightsVersion weights, RolloutPlanner plan) {
        long now = state.nowMillis();
        if (!mayCall(target, now)) {
            return;
        }
        targetsBeingCalled.add(target.id());
        HttpCallClient client =
                new HttpCallClient(state.connector(), state.heldBytes(), target.registration()::address);
        Optional<KeptReport> kept =
                Optional.ofNullable(keptReports.remove(target.id())).filter(each -> each.isUsable(now));
        if (kept.isPresent()) {
            orderIfDue(target, weights, kept.get().report(), plan, client);
        } else {
            ask(target, weights, plan, client);
        }
    }

    private void ask(Target target, WeightsVersion weights, RolloutPlanner plan, HttpCallClient client) {
        long asked = state.nowMillis();
        long timeout =
                plan.isUnanswered(target.id(), weights.version()) ? SLOW_ENGINE_TIMEOUT_MILLIS : ENGINE_TIMEOUT_MILLIS;
        client.call(state.platform().engines().report(Optional.of(target.id())), timeout, answer -> {
            selfReports.onCallAnswered(target, answer, asked);
            Optional<EngineReport> report = readReport(answer);
            if (report.isEmpty()) {
                plan.onNotReported(target.id(), weights.version(), state.nowMillis());
                rolloutLog.notReported(target);
                endCall(target, client);
                return;
            }
            applyReport(target, report.get());
            orderIfDue(target, weights, report.get(), plan, client);
        });
    }

    /** Orders an engine unless its report shows that there is no need; keeps the report if the term is over. */
    private void orderIfDue(
            Target target, WeightsVersion weights, EngineReport report, RolloutPlanner plan, HttpCallClient client) {
        long now = state.nowMillis();
        boolean stale = target.weights(weights.model()) < weights.version();
        if (stale && report.busy()) {
            plan.onLoading(target.id(), weights.version(), now);
            progressChecksDueAt.put(target.id(), now + PROGRESS_CHECK_INTERVAL_MILLIS);
        }
        if (!stale || report.busy() || !state.admission().mayCall(target, now)) {
            endCall(target, client);
            return;
        }
        if (!lease.mayOrder(target.id(), state.clock().now())) {
            keptReports.values().removeIf(kept -> !kept.isUsable(now));
            keptReports.put(target.id(), new KeptReport(report, now));
            endCall(target, client);
            return;
        }
        sendOrder(target, weights, report, plan, client);
    }

    private void endCall(Target target, HttpCallClient client) {
        client.close();
        targetsBeingCalled.remove(target.id());
    }

    private void sendOrder(
            Target target, WeightsVersion weights, EngineReport report, RolloutPlanner plan, HttpCallClient client) {
        LoadOrder order = new LoadOrder(
                weights, state.settings().instance(), lease.fencingToken(), report.acceptedOrders(), target.id());
        long now = state.nowMillis();
        plan.onOrdered(target.id(), weights.version(), now);
        target.markLoadingWeights(now + LOAD_MILLIS);
        progressChecksDueAt.put(target.id(), now + FIRST_PROGRESS_CHECK_MILLIS);
        BooleanSupplier inTerm = () -> lease.mayOrder(target.id(), state.clock().now());
        client.callIf(inTerm, state.platform().engines().order(order), ENGINE_TIMEOUT_MILLIS, answer -> {
            if (answer.equals(CallResult.Unanswered.NOT_SENT)) {
                plan.onRefused(target.id());
                keptReports.put(target.id(), new KeptReport(report, now));
                target.markLoadingWeights(state.nowMillis());
                progressChecksDueAt.remove(target.id());
                endCall(target, client);
                return;
            }
            selfReports.onCallAnswered(target, answer, now);
            int status = answer instanceof CallResult.Answered answered ? answered.status() : 0;
            rolloutLog.ordered(target, order, status, state.nowMillis());
            if (status == 0) {
                // The engine may load the weights later or never; until then it serves requests.
                plan.onUnanswered(target.id());
                target.markLoadingWeights(state.nowMillis());
            } else if (!state.platform().engines().isOrderAccepted(status)) {
                plan.onRefused(target.id());
                target.markLoadingWeights(state.nowMillis());
            }
            endCall(target, client);
        });
    }

    /** Returns the engines that this relay has ordered and that don't serve their new weights yet. */
    List<String> loadingTargets() {
        long now = state.nowMillis();
        return progressChecksDueAt.keySet().stream()
                .filter(id -> state.fleet()
                        .find(id)
                        .filter(target -> target.isLoadingWeights(now))
                        .isPresent())
                .toList();
    }

    /** Requests reports from ordered engines whose progress check is due. */
    void checkProgress(List<Target> targets, WeightsVersion weights, RolloutPlanner plan, long now) {
        for (Target target : targets) {
            Long due = progressChecksDueAt.get(target.id());
            if (due == null || now < due || !mayCall(target, now)) {
                continue;
            }
            if (target.weights(weights.model()) >= weights.version()) {
                progressChecksDueAt.remove(target.id());
                continue;
            }
            progressChecksDueAt.put(target.id(), now + PROGRESS_CHECK_INTERVAL_MILLIS);
            targetsBeingCalled.add(target.id());
            HttpCallClient client =
                    new HttpCallClient(state.connector(), state.heldBytes(), target.registration()::address);
            client.call(state.platform().engines().report(Optional.of(target.id())), ENGINE_TIMEOUT_MILLIS, answer -> {
                selfReports.onCallAnswered(target, answer, now);
                Optional<EngineReport> report = readReport(answer);
                report.ifPresent(read -> applyReport(target, read));
                if (report.isPresent() && report.get().busy()) {
                    plan.onLoading(target.id(), weights.version(), state.nowMillis());
                } else if (report.isPresent()) {
                    // The load has finished or never started.
                    plan.onNotLoading(target.id());
                    target.markLoadingWeights(state.nowMillis());
                }
                rolloutLog.lookedAt(target, report, weights.model());
                endCall(target, client);
            });
        }
    }

    private void applyReport(Target target, EngineReport report) {
        reportedInFlight.put(target.id(), report.inFlight());
        report.weights().forEach(each -> target.confirmWeights(each.model(), each.version(), state.nowMillis()));
    }

    private Optional<EngineReport> readReport(CallResult answer) {
        if (!(answer instanceof CallResult.Answered answered)) {
            return Optional.empty();
        }
        try {
            return state.platform().engines().readReport(answered.status(), answered.body());
        } catch (IllegalArgumentException malformed) {
            state.log().warn("report_unreadable", "reason", String.valueOf(malformed.getMessage()));
            return Optional.empty();
        }
    }
}
