package org.rattanrudder.daemon.relay.targets;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import org.rattanrudder.core.fleet.ServiceCapacity;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.core.fleet.TargetCapacity;
import org.rattanrudder.daemon.relay.process.RelayState;

/** Metrics of how fast targets are, for services to which learned figures apply. */
public final class CapacityGauges {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final RelayState state;

    /** Creates the metrics; {@link #register} makes them visible. */
    public CapacityGauges(RelayState state) {
        this.state = state;
    }

    /** Registers the metrics. */
    public void register() {
        state.metrics()
                .serviceGauge(
                        "rattanrudder_relay_learned_tokens_per_ms",
                        "Learned prefill speed of a service's engines at the usual pace",
                        () -> byService(service -> service.prefillTokensPerMilli(state.nowMillis())));
        state.metrics()
                .serviceGauge(
                        "rattanrudder_relay_learned_base_seconds",
                        "Learned time to the first event of a service's engines without prefill",
                        () -> byService(service -> service.baseMillis(state.nowMillis()) / MILLIS_PER_SECOND));
        state.metrics()
                .serviceGauge(
                        "rattanrudder_relay_target_slowdown",
                        "How long work takes at a service's targets now, as a multiple of the usual time; mean",
                        () -> meanOfTargets(target -> target.slowdown(state.nowMillis())));
        state.metrics()
                .serviceGauge(
                        "rattanrudder_relay_pace_age_seconds",
                        "Age of the last pace that a service's targets have reported; mean",
                        () -> meanOfTargets(target -> target.paceAgeMillis(state.nowMillis()) / MILLIS_PER_SECOND));
    }

    private Map<String, Double> byService(ToDoubleFunction<ServiceCapacity> figure) {
        Map<String, Double> values = new TreeMap<>();
        for (String service : state.fleet().servicesWithLearnedFigures(state.nowMillis())) {
            values.put(service, figure.applyAsDouble(state.fleet().capacity(service)));
        }
        return values;
    }

    private Map<String, Double> meanOfTargets(ToDoubleFunction<TargetCapacity> figure) {
        Map<String, Double> values = new TreeMap<>();
        for (String service : state.fleet().servicesWithLearnedFigures(state.nowMillis())) {
            state.fleet().activeTargets(service, state.nowMillis()).stream()
                    .map(Target::capacity)
                    .mapToDouble(figure)
                    .average()
                    .ifPresent(mean -> values.put(service, mean));
        }
        return values;
    }
}
