package org.rattanrudder.daemon.relay.process;

/** Registers the gauges of the state that the relay's components share. */
final class StateGauges {
    private static final double MILLIS_PER_SECOND = 1_000;

    private StateGauges() {}

    /** Registers the gauges, which are read whenever the metrics are; called once, when the process starts. */
    static void register(RelayState state) {
        RelayMetrics metrics = state.metrics();
        metrics.gauge(
                "rattanrudder_relay_domains_evacuated",
                "Failure domains whose targets get no requests",
                () -> state.fleet().evacuations().evacuated().size());
        metrics.gauge(
                "rattanrudder_relay_configuration",
                "The version of the configuration in force",
                () -> state.configuration()
                        .map(configuration -> (double) configuration.version())
                        .orElse(0.0));
        metrics.gauge(
                "rattanrudder_relay_targets",
                "Targets that are known",
                () -> state.fleet().all(state.nowMillis()).size());
        metrics.gauge(
                "rattanrudder_relay_weights_retired_before",
                "The version of weights before which this relay fetches no parts",
                () -> state.retiredWeights().retiredBefore());
        double startedAt = System.currentTimeMillis() / MILLIS_PER_SECOND;
        metrics.gauge(
                "rattanrudder_relay_started_seconds", "When the process started, in Unix seconds", () -> startedAt);
        metrics.gauge(
                "rattanrudder_relay_stopping",
                "1 once the process was asked to stop",
                () -> state.isStopping() ? 1 : 0);
    }
}
