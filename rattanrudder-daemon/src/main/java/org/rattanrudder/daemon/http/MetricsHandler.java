package org.rattanrudder.daemon.http;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;

/** Serves the metrics in the Prometheus text format. */
public final class MetricsHandler implements HttpHandler {
    private final PrometheusRegistry registry;
    private final PrometheusTextFormatWriter writer =
            PrometheusTextFormatWriter.builder().build();

    /** Creates a handler for a registry. */
    public MetricsHandler(PrometheusRegistry registry) {
        this.registry = registry;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws IOException {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        writer.write(text, registry.scrape());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, writer.getContentType());
        exchange.getResponseSender().send(ByteBuffer.wrap(text.toByteArray()));
    }
}
