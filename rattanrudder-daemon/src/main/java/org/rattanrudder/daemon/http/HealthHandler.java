package org.rattanrudder.daemon.http;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;

/** Serves the health checks of a process; its state is set by the handler thread and read by I/O threads. */
public final class HealthHandler implements HttpHandler {
    private static final String PREFIX = "/health/";

    private volatile boolean setReady;
    private volatile boolean startDraining;

    /** Sets whether the process can serve requests. */
    public void setReady(boolean isReady) {
        setReady = isReady;
    }

    /** Marks the process as draining. */
    public void startDraining() {
        startDraining = true;
    }

    /** Returns whether the path is that of a health check. */
    public static boolean serves(String path) {
        return path.startsWith(PREFIX);
    }

    /** Answers {@code live}, {@code ready} and {@code drain}: 200 for yes, 503 for no. */
    @Override
    public void handleRequest(HttpServerExchange exchange) {
        String check = exchange.getRequestPath().substring(PREFIX.length());
        switch (check) {
            case "live" -> answer(exchange, true);
            case "ready" -> answer(exchange, setReady && !startDraining);
            case "drain" -> answer(exchange, startDraining);
            default -> {
                exchange.setStatusCode(StatusCodes.NOT_FOUND);
                exchange.endExchange();
            }
        }
    }

    private static void answer(HttpServerExchange exchange, boolean healthy) {
        exchange.setStatusCode(healthy ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
        exchange.getResponseSender().send(healthy ? "yes\n" : "no\n");
    }
}
