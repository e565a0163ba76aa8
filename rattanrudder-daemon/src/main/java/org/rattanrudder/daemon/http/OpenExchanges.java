package org.rattanrudder.daemon.http;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Knows which requests are still read or answered, so that a process doesn't end before its last answer was taken.
 *
 * <p>Once it drains, each answer ends its connection. The connection closes when the caller, having read the answer,
 * closes its side.
 */
public final class OpenExchanges {
    private final AtomicInteger exchanges = new AtomicInteger();
    private final Set<ServerConnection> closing = ConcurrentHashMap.newKeySet();
    private volatile boolean draining;

    /** Returns a handler whose requests are counted. */
    public HttpHandler counting(HttpHandler handler) {
        return exchange -> {
            add(exchange);
            handler.handleRequest(exchange);
        };
    }

    private void add(HttpServerExchange exchange) {
        exchanges.incrementAndGet();
        exchange.addExchangeCompleteListener((completed, next) -> {
            exchanges.decrementAndGet();
            next.proceed();
        });
        exchange.addResponseCommitListener(this::onCommit);
    }

    private void onCommit(HttpServerExchange exchange) {
        if (!draining) {
            return;
        }
        exchange.setPersistent(false);
        HeaderMap headers = exchange.getResponseHeaders();
        if (exchange.isHttp11() && !headers.contains(Headers.CONTENT_LENGTH)) {
            // Without chunks the answer would end with its connection, and one that is broken off look whole.
            headers.put(Headers.TRANSFER_ENCODING, "chunked");
        }
        ServerConnection connection = exchange.getConnection();
        closing.add(connection);
        connection.addCloseListener(closing::remove);
        if (!connection.isOpen()) {
            closing.remove(connection);
        }
    }

    /** Has each answer that begins from now on end its connection. */
    public void startDraining() {
        draining = true;
    }

    /** Returns whether a request is still read, or its answer isn't sent in full. */
    public boolean hasOpen() {
        return exchanges.get() > 0;
    }

    /** Returns whether a caller hasn't closed a connection yet whose last answer was given while draining. */
    public boolean hasUnclosed() {
        return !closing.isEmpty();
    }
}
