package org.rattanrudder.daemon.entry;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.Refusal;
import org.rattanrudder.daemon.http.ErrorResponse;
import org.rattanrudder.daemon.http.HealthHandler;
import org.rattanrudder.daemon.logging.EventLog;

/**
 * Hands each request to what serves its path.
 *
 * @param callers takes callers' requests
 * @param operators takes operators' calls
 * @param health answers health checks
 * @param metrics answers metrics
 * @param log hears of paths that nothing serves
 */
record EntryHttp(HttpHandler callers, HttpHandler operators, HealthHandler health, HttpHandler metrics, EventLog log)
        implements HttpHandler {
    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        String path = exchange.getRequestPath();
        if (path.equals(CallerHandler.CHAT_PATH) || path.startsWith(CallerHandler.SERVICES_PREFIX)) {
            callers.handleRequest(exchange);
        } else if (path.startsWith(OperatorHandler.PREFIX)) {
            operators.handleRequest(exchange);
        } else if (HealthHandler.serves(path)) {
            health.handleRequest(exchange);
        } else if (path.equals("/metrics")) {
            metrics.handleRequest(exchange);
        } else {
            log.info("request_refused", "kind", ErrorKind.UNKNOWN_PATH.wireName());
            ErrorResponse.send(exchange, new Refusal(ErrorKind.UNKNOWN_PATH, 0, "nothing is served here"), "");
        }
    }
}
