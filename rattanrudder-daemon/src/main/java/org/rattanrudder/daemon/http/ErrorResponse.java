package org.rattanrudder.daemon.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.io.IoCallback;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.nio.ByteBuffer;
import org.rattanrudder.core.model.Refusal;

/** Writes error responses, which all have the same JSON format. */
public final class ErrorResponse {
    /** The response header with the request's id. */
    public static final HttpString REQUEST_HEADER = new HttpString("Rattanrudder-Request");

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long MILLIS_PER_SECOND = 1_000;

    private ErrorResponse() {}

    /** Returns the JSON body of an error. */
    public static byte[] body(Refusal refusal, String requestId) {
        ObjectNode error = MAPPER.createObjectNode()
                .put("kind", refusal.kind().wireName())
                .put("run_state", refusal.kind().runState().wireName())
                .put("message", refusal.detail());
        if (refusal.retryAfterMillis() > 0) {
            error.put("retry_after_millis", refusal.retryAfterMillis());
        }
        error.put("request", requestId);
        try {
            return MAPPER.writeValueAsBytes(MAPPER.createObjectNode().set("error", error));
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException("can't write the error as JSON", impossible);
        }
    }

    /** Sends the error and ends the exchange; must be called on the exchange's I/O thread. */
    public static void send(HttpServerExchange exchange, Refusal refusal, String requestId) {
        send(exchange, refusal, requestId, IoCallback.END_EXCHANGE);
    }

    /** Sends the error and then runs the callback. */
    public static void send(HttpServerExchange exchange, Refusal refusal, String requestId, IoCallback callback) {
        byte[] body = body(refusal, requestId);
        exchange.setStatusCode(refusal.kind().status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        if (!requestId.isEmpty()) {
            exchange.getResponseHeaders().put(REQUEST_HEADER, requestId);
        }
        if (refusal.retryAfterMillis() > 0) {
            long seconds = (refusal.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, Long.toString(seconds));
        }
        exchange.getResponseSender().send(ByteBuffer.wrap(body), callback);
    }
}
