package org.rattanrudder.daemon.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.rattanrudder.core.document.RequestClass;
import org.rattanrudder.core.entry.RequestSummary;
import org.rattanrudder.core.model.ErrorKind;

/** The metrics of an entry. Label values come from documents and fixed sets, never from callers. */
public final class EntryMetrics {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double[] FIRST_BYTE_BUCKETS_SECONDS = {
        0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.38, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10, 20, 60, 120
    };

    private final PrometheusRegistry registry;
    private final Histogram firstByte;
    private final Counter requests;
    private final Counter refusals;
    private final Counter retries;
    private final Counter promptTokens;
    private final Counter cachedTokens;
    private final Counter fetchedBytes;

    /** Registers the metrics. */
    public EntryMetrics(PrometheusRegistry registry) {
        this.registry = registry;
        firstByte = Histogram.builder()
                .name("rattanrudder_first_byte_seconds")
                .help("Time from a request's arrival to the first byte of its answer")
                .labelNames("service", "class")
                .classicOnly()
                .classicUpperBounds(FIRST_BYTE_BUCKETS_SECONDS)
                .register(registry);
        requests = counter("rattanrudder_requests", "Requests that ended, by outcome", "service", "class", "outcome");
        refusals = counter("rattanrudder_refusals", "Requests that ended with an error, by its kind", "kind");
        retries = counter("rattanrudder_retries", "Attempts after the first of a request", "service");
        promptTokens = counter("rattanrudder_prompt_tokens", "Tokens of answered prompts", "service");
        cachedTokens = counter("rattanrudder_cached_tokens", "Of these, tokens that were not computed anew", "service");
        fetchedBytes =
                counter("rattanrudder_fetched_bytes", "Bytes of context fetched for answered prompts", "service");
    }

    /** Registers a gauge whose value is read on each scrape. */
    public void gauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    /** Records a request that ended; the class is empty if the request was refused before its class was known. */
    public void record(RequestSummary summary, Optional<RequestClass> knownClass) {
        summary.error()
                .map(ErrorKind::wireName)
                .ifPresent(kind -> refusals.labelValues(kind).inc());
        if (knownClass.isEmpty()) {
            return;
        }
        String service = summary.service();
        String requestClass = knownClass.get().name();
        String outcome = summary.error().map(kind -> kind.runState().wireName()).orElse("answered");
        requests.labelValues(service, requestClass, outcome).inc();
        if (summary.firstByteMicros() >= 0) {
            firstByte.labelValues(service, requestClass).observe(summary.firstByteMicros() / MICROS_PER_SECOND);
        }
        retries.labelValues(service).inc(Math.max(0, summary.attempts() - 1));
        promptTokens.labelValues(service).inc(summary.usage().promptTokens());
        cachedTokens.labelValues(service).inc(summary.usage().cachedTokens());
        fetchedBytes.labelValues(service).inc(summary.usage().fetchedBytes());
    }

    private Counter counter(String name, String help, String... labels) {
        return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
    }
}
