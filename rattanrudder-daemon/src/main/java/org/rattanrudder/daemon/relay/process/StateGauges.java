package org.rattanrudder.daemon.relay.process;

import io.netty.buffer.UnpooledByteBufAllocator;
import java.util.Arrays;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import org.rattanrudder.core.memory.ByteBudget;
import org.rattanrudder.core.memory.ByteUse;

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
                "rattanrudder_relay_store_calls_in_flight",
                "Calls to the platform's store that await an answer",
                () -> state.storeCalls().count());
        metrics.gauge(
                "rattanrudder_relay_store_era",
                "The era of the platform's store, which rises when it comes back from an older copy",
                () -> state.storeEra().current());
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
        registerMemory(metrics, state.heldBytes());
    }

    /** Registers what tells apart whose bytes fill the heap: those of callers and others, by use, or anything else. */
    private static void registerMemory(RelayMetrics metrics, ByteBudget held) {
        metrics.labelledGauge(
                "rattanrudder_relay_held_bytes",
                "Bytes of others that the process holds, by what for",
                "use",
                () -> byUse(held::held));
        metrics.labelledGauge(
                "rattanrudder_relay_held_bytes_limit",
                "Bytes of others that the process may hold now, by what for",
                "use",
                () -> byUse(held::limit));
        UnpooledByteBufAllocator buffers = UnpooledByteBufAllocator.DEFAULT;
        metrics.labelledGauge(
                "rattanrudder_relay_buffer_bytes",
                "Bytes of network buffers other than bodies of requests, by area",
                "area",
                () -> Map.of(
                        "heap", (double) buffers.metric().usedHeapMemory(),
                        "direct", (double) buffers.metric().usedDirectMemory()));
        Runtime runtime = Runtime.getRuntime();
        metrics.labelledGauge(
                "rattanrudder_relay_heap_bytes",
                "Bytes of the heap, garbage included; maximum is the largest size that it may have",
                "state",
                () -> Map.of(
                        "used", (double) (runtime.totalMemory() - runtime.freeMemory()),
                        "committed", (double) runtime.totalMemory(),
                        "maximum", (double) runtime.maxMemory()));
    }

    private static Map<String, Double> byUse(ToDoubleFunction<ByteUse> bytes) {
        return Arrays.stream(ByteUse.values()).collect(Collectors.toMap(ByteUse::wireName, bytes::applyAsDouble));
    }
}
