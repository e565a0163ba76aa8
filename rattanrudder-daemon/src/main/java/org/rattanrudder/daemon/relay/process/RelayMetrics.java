package org.rattanrudder.daemon.relay.process;

import io.prometheus.metrics.core.datapoints.CounterDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.rattanrudder.core.continuation.OriginExchange.Source;
import org.rattanrudder.core.fleet.QueueForecast.Forecast;
import org.rattanrudder.core.fleet.TargetAdmission;
import org.rattanrudder.core.gateway.AttemptOutcome;
import org.rattanrudder.core.gateway.BodyPosition;
import org.rattanrudder.core.gateway.ResponseEnd;
import org.rattanrudder.core.memory.ByteUse;

/** The metrics of a relay. Label values come from fixed sets and the configuration, never from callers. */
public final class RelayMetrics {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double[] FIRST_BYTE_BUCKETS_SECONDS = {
        0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2, 4, 8, 12
    };

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests;
    private final Counter attempts;
    private final Counter responseEnds;
    private final Counter storeCalls;
    private final Histogram storeAnswers;
    private final Counter unreadableRecords;
    private final Counter warmUpLimited;
    private final Counter rateLimited;
    private final Counter restLimited;
    private final Counter sentUnwanted;
    private final Counter unknownHeaders = counter(
            "rattanrudder_relay_response_headers_unknown",
            "Headers of targets' responses that nothing reads, by name",
            "name");
    private final Counter peerReads = counter(
            "rattanrudder_relay_store_reads_by_peers",
            "Reads of the platform's store that peers were asked for, by whether one has made them",
            "outcome");
    private final Counter readsForPeers = counter(
            "rattanrudder_relay_store_reads_for_peers",
            "Reads of the platform's store that peers have asked for, by whether this relay has made them",
            "outcome");
    private final Counter unreadMembers = counter(
            "rattanrudder_relay_members_unread",
            "Members of records and reports that nothing reads, by kind of object and name",
            "name");
    private final Counter resumptions = counter(
            "rattanrudder_relay_streams_resumed",
            "Streams that callers resume, by how their origin is known and whether a target may continue them",
            "origin",
            "outcome");
    private final Counter rejectedEarly = counter(
            "rattanrudder_relay_rejected_early",
            "Requests that were rejected since their turn would have come too late, by where",
            "service",
            "stage");
    private final Counter unforecast = counter(
            "rattanrudder_relay_queue_unforecast",
            "Requests that would queue while too little was known for a forecast",
            "service");
    private final Gauge queueRate = gauge(
            "rattanrudder_relay_queue_rate",
            "Rate at which the queue was served, in a second, as in the last forecast",
            "service",
            "unit");
    private final Gauge queueAhead = gauge(
            "rattanrudder_relay_queue_ahead", "What was ahead of a request in the last forecast", "service", "unit");
    private final Gauge queueRateAge =
            gauge("rattanrudder_relay_queue_rate_age_seconds", "Age of the rate in the last forecast", "service");
    private final Histogram queueForecast;
    private final Counter targetsCrashed;
    private final Counter rejectedForMemory = counter(
            "rattanrudder_relay_rejected_for_memory",
            "Requests that were rejected since the process may hold no more bytes, by what for",
            "use");
    private final Counter connectionsClosedUnread;
    private final Counter parts;
    private final Counter peerMessagesDropped;
    private final CounterDataPoint peerMessagesSent;
    private final CounterDataPoint peerMessagesReceived;
    private final Histogram firstByte;

    /** Creates the metrics in a registry of their own. */
    public RelayMetrics() {
        requests =
                counter("rattanrudder_relay_requests", "Requests that ended, by route and outcome", "route", "outcome");
        attempts =
                counter("rattanrudder_relay_attempts", "Attempts at targets, by how they ended", "service", "outcome");
        responseEnds = counter(
                "rattanrudder_relay_response_ends",
                "Responses of targets, by how the body ended and where in its content",
                "service",
                "end",
                "position");
        storeCalls = counter("rattanrudder_relay_store_calls", "Calls to the platform's store", "topic");
        storeAnswers = histogram(
                "rattanrudder_relay_store_answer_seconds",
                "Time from a read of the platform's store to its answer, repeats included",
                "topic");
        unreadableRecords = counter(
                "rattanrudder_relay_records_unreadable",
                "Records of the platform's store that couldn't be read",
                "topic");
        warmUpLimited = counter(
                "rattanrudder_relay_warm_up_limited",
                "Placements that were put off since targets were warming up",
                "service");
        rateLimited = counter(
                "rattanrudder_relay_rate_limited",
                "Placements that were put off since targets had named rate limits",
                "service");
        restLimited = counter(
                "rattanrudder_relay_rest_limited",
                "Placements that were put off since another request tried whether targets take requests after a rest",
                "service");
        sentUnwanted = counter(
                "rattanrudder_relay_sent_unwanted",
                "Requests sent to targets that had said that they leave, or had asked for rest",
                "notice");
        targetsCrashed = counter(
                "rattanrudder_relay_targets_crashed", "Targets that ended in the middle of requests", "service");
        connectionsClosedUnread = counter(
                "rattanrudder_relay_connections_closed_unread",
                "Callers' new connections that were closed unread, since there were too many");
        parts = counter("rattanrudder_relay_parts", "Shared parts of prompts, by what was planned for them", "plan");
        peerMessagesDropped = counter(
                "rattanrudder_relay_peer_messages_dropped",
                "Messages of unknown senders or in a form that couldn't be read",
                "reason");
        Counter peerMessages =
                counter("rattanrudder_relay_peer_messages", "Messages of and to other relays", "direction");
        peerMessagesSent = peerMessages.labelValues("sent");
        peerMessagesReceived = peerMessages.labelValues("received");
        firstByte = histogram(
                "rattanrudder_relay_first_byte_seconds",
                "Time from a request's arrival to the first byte of its answer",
                "route");
        queueForecast = histogram(
                "rattanrudder_relay_queue_forecast_seconds",
                "Forecast of the time until a request is sent that would queue",
                "service");
    }

    private Histogram histogram(String name, String help, String label) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .labelNames(label)
                .classicOnly()
                .classicUpperBounds(FIRST_BYTE_BUCKETS_SECONDS)
                .register(registry);
    }

    private Gauge gauge(String name, String help, String... labels) {
        return Gauge.builder().name(name).help(help).labelNames(labels).register(registry);
    }

    private Counter counter(String name, String help, String... labels) {
        return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
    }

    /** Registers a gauge whose value is read whenever the metrics are. */
    public void gauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    /** Registers a gauge for each service; the values by service are read whenever the metrics are. */
    public void serviceGauge(String name, String help, Supplier<Map<String, Double>> values) {
        labelledGauge(name, help, "service", values);
    }

    /** Registers a gauge with one label; the values by label value are read whenever the metrics are. */
    public void labelledGauge(String name, String help, String label, Supplier<Map<String, Double>> values) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .labelNames(label)
                .callback(callback -> values.get().forEach((found, value) -> callback.call(value, found)))
                .register(registry);
    }

    /** Records a request that was rejected since the process may hold no more bytes. */
    public void recordRejectedForMemory(ByteUse use) {
        rejectedForMemory.labelValues(use.wireName()).inc();
    }

    /** Records the end of a request. */
    public void recordRequest(String route, String outcome) {
        requests.labelValues(route, outcome).inc();
    }

    /** Records the time from a request's arrival to the first byte of its answer, in ms. */
    public void recordFirstByte(String route, long millis) {
        firstByte.labelValues(route).observe(millis / MILLIS_PER_SECOND);
    }

    /** Records the end of an attempt at a target. */
    public void recordAttempt(String service, String outcome) {
        attempts.labelValues(service, outcome).inc();
    }

    /** Records an attempt that failed, by its outcome. */
    public void recordFailedAttempt(String service, AttemptOutcome outcome) {
        recordAttempt(service, outcome.name().toLowerCase(Locale.ROOT));
    }

    /** Records how the body of a target's response ended, and where in its content. */
    public void recordResponseEnd(String service, ResponseEnd end, BodyPosition position) {
        responseEnds.labelValues(service, end.wireName(), position.wireName()).inc();
    }

    /** Records a call to the platform's store. */
    public void recordStoreCall(String topic) {
        storeCalls.labelValues(topic).inc();
    }

    /** Records the time from a read of the platform's store to its answer, in ms. */
    public void recordStoreAnswer(String topic, long millis) {
        storeAnswers.labelValues(topic).observe(millis / MILLIS_PER_SECOND);
    }

    /** Records a read of the platform's store that peers were asked for. */
    public void recordReadByPeers(boolean made) {
        peerReads.labelValues(made ? "made" : "failed").inc();
    }

    /** Records a read of the platform's store that a peer has asked for. */
    public void recordReadForPeer(boolean made) {
        readsForPeers.labelValues(made ? "made" : "refused").inc();
    }

    /** Records a record of the platform's store that couldn't be read. */
    public void recordUnreadable(String topic) {
        unreadableRecords.labelValues(topic).inc();
    }

    /** Records that a placement was deferred. */
    public void recordDeferred(String service, TargetAdmission.Deferral deferral) {
        Counter counter = switch (deferral) {
            case AFTER_REST -> restLimited;
            case WARM_UP -> warmUpLimited;
            case RATE_LIMIT -> rateLimited;
        };
        counter.labelValues(service).inc();
    }

    /** Records a request that was sent to a target that had said that it wants none. */
    public void recordSentUnwanted(String notice) {
        sentUnwanted.labelValues(notice).inc();
    }

    /** Records a header that nothing reads; the caller bounds the number of names. */
    public void recordUnknownHeader(String name) {
        unknownHeaders.labelValues(name).inc();
    }

    /** Records a member of a record or report that nothing reads; the caller bounds the number of names. */
    void recordUnreadMember(String name) {
        unreadMembers.labelValues(name).inc();
    }

    /** Records that a caller has resumed a stream. */
    public void recordResumption(Source origin, boolean continuable) {
        resumptions
                .labelValues(origin.wireName(), continuable ? "continuable" : "refused")
                .inc();
    }

    /** Records the forecast for a request that would queue; empty if too little was known. */
    public void recordForecast(String service, Optional<Forecast> forecast) {
        if (forecast.isEmpty()) {
            unforecast.labelValues(service).inc();
            return;
        }
        Forecast found = forecast.get();
        queueForecast.labelValues(service).observe(found.waitMillis() / MILLIS_PER_SECOND);
        queueRate.labelValues(service, "requests").set(found.requestsPerSecond());
        queueRate.labelValues(service, "tokens").set(found.tokensPerSecond());
        queueAhead.labelValues(service, "requests").set(found.ahead().requests());
        queueAhead.labelValues(service, "tokens").set(found.ahead().tokens());
        queueRateAge.labelValues(service).set(found.ageMillis() / MILLIS_PER_SECOND);
    }

    /** Records that a request was rejected since its turn would have come too late. */
    public void recordRejectedEarly(String service, String stage) {
        rejectedEarly.labelValues(service, stage).inc();
    }

    /** Records that a target ended in the middle of requests. */
    public void recordTargetCrash(String service) {
        targetsCrashed.labelValues(service).inc();
    }

    void recordConnectionClosedUnread() {
        connectionsClosedUnread.inc();
    }

    /** Records a message to another relay. */
    public void recordPeerMessageSent() {
        peerMessagesSent.inc();
    }

    /** Records a message of another relay. */
    public void recordPeerMessageReceived() {
        peerMessagesReceived.inc();
    }

    /** Records a message that was ignored. */
    public void recordPeerMessageDropped(String reason) {
        peerMessagesDropped.labelValues(reason).inc();
    }

    /** Records shared parts of a prompt for which the same was planned. */
    public void recordParts(String plan, int count) {
        if (count > 0) {
            parts.labelValues(plan).inc(count);
        }
    }

    /** Returns all metrics in the Prometheus text format. */
    public byte[] text() {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(text, registry.scrape());
        } catch (IOException impossible) {
            throw new UncheckedIOException("writing to memory failed", impossible);
        }
        return text.toByteArray();
    }
}
