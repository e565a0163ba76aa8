package org.rattanrudder.daemon.relay.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.core.rollout.DesiredVersions.DesiredVersion;
import org.rattanrudder.daemon.relay.port.EngineDialect.EngineReport;
import org.rattanrudder.daemon.relay.port.EngineDialect.LoadOrder;
import org.rattanrudder.daemon.relay.port.WeightsVersion;
import org.rattanrudder.daemon.relay.process.RelayState;

/** Logs orders, and at intervals which engines have older weights and why they have got no order. */
final class RolloutLog {
    private static final long BEHIND_INTERVAL_MILLIS = 5_000;

    private final RelayState state;
    private final Map<String, LastOrder> lastOrders = new HashMap<>();
    private int behind;
    private long loggedAt = Long.MIN_VALUE / 2;

    /** What became of the last order of this relay to an engine. */
    private record LastOrder(long version, int status, long at) {}

    /**
     * An engine that has older weights than the newest.
     *
     * @param target the engine
     * @param weights the newest weights
     * @param beingCalled whether it is asked for a report or ordered right now
     */
    record Pending(Target target, WeightsVersion weights, boolean beingCalled) {}

    RolloutLog(RelayState state) {
        this.state = state;
        state.metrics()
                .gauge(
                        "rattanrudder_relay_targets_behind",
                        "Engines that have older weights than the newest, as far as this relay knows",
                        () -> behind);
    }

    /** Logs an order and the engine's answer; status 0 is none. */
    void ordered(Target target, LoadOrder order, int status, long now) {
        lastOrders.put(target.id(), new LastOrder(order.weights().version(), status, now));
        state.log()
                .info(
                        "order_given",
                        "target",
                        target.id(),
                        "model",
                        order.weights().model(),
                        "version",
                        Long.toString(order.weights().version()),
                        "token",
                        Long.toString(order.fencingToken()),
                        "status",
                        Integer.toString(status));
    }

    /** Logs that an engine wasn't ordered, since it gave no report. */
    void notReported(Target target) {
        state.log().info("engine_not_reported", "target", target.id());
    }

    /** Logs how far an engine is that was ordered; the report is empty if it sent none. */
    void lookedAt(Target target, Optional<EngineReport> report, String model) {
        state.log()
                .info(
                        "engine_looked_at",
                        "target",
                        target.id(),
                        "busy",
                        report.map(read -> Boolean.toString(read.busy())).orElse("unknown"),
                        "weights",
                        Long.toString(target.weights(model)),
                        "in_flight",
                        report.map(read -> Integer.toString(read.inFlight())).orElse("unknown"));
    }

    /**
     * Logs the engines that have older weights, unless it did so lately.
     *
     * @param holder who may give orders: "self", another process of a relay, or empty if that isn't known
     */
    void behind(List<Pending> pending, String holder, long now) {
        behind = pending.size();
        if (pending.isEmpty()) {
            lastOrders.clear();
            return;
        }
        if (now - loggedAt < BEHIND_INTERVAL_MILLIS) {
            return;
        }
        loggedAt = now;
        Set<String> ids = pending.stream().map(each -> each.target().id()).collect(Collectors.toSet());
        lastOrders.keySet().retainAll(ids);
        pending.forEach(each -> logBehind(each, holder, now));
    }

    private void logBehind(Pending pending, String holder, long now) {
        Target target = pending.target();
        String model = pending.weights().model();
        Optional<DesiredVersion> newest = state.weights().newestKnown(model);
        Optional<LastOrder> order = Optional.ofNullable(lastOrders.get(target.id()));
        state.log()
                .info(
                        "engine_behind",
                        "target",
                        target.id(),
                        "weights",
                        Long.toString(target.weights(model)),
                        "weights_by",
                        target.isWeightsRecorded(model) ? "record" : "response",
                        "newest",
                        Long.toString(pending.weights().version()),
                        "newest_age_ms",
                        newest.map(known -> known.ageText(state.atMostMillis())).orElse("unknown"),
                        "newest_by",
                        newest.map(known -> known.source().wireName()).orElse("none"),
                        "holder",
                        holder.isEmpty() ? "unknown" : holder,
                        "loading",
                        Boolean.toString(target.isLoadingWeights(now)),
                        "callable",
                        Boolean.toString(state.admission().mayCall(target, now)),
                        "being_called",
                        Boolean.toString(pending.beingCalled()),
                        "last_order",
                        order.map(last -> Long.toString(last.version())).orElse("none"),
                        "last_order_status",
                        order.map(last -> Integer.toString(last.status())).orElse("none"),
                        "last_order_age_ms",
                        order.map(last -> Long.toString(now - last.at())).orElse("none"));
    }
}
