package org.rattanrudder.standins;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.Deque;
import java.util.List;

/**
 * One call to a stand-in, read whole.
 *
 * @param exchange the call as the server sees it
 * @param body its body
 */
record StandInCall(HttpServerExchange exchange, byte[] body) {
    /** Returns whether the call has this method and path. */
    boolean is(String method, String path) {
        return exchange.getRequestMethod().equalToString(method)
                && exchange.getRequestPath().equals(path);
    }

    /** Returns whether the call has the method and its path starts so. */
    boolean isUnder(String method, String prefix) {
        return exchange.getRequestMethod().equalToString(method)
                && exchange.getRequestPath().startsWith(prefix);
    }

    /** Returns the segments of the path. */
    List<String> segments() {
        return List.of(exchange.getRequestPath().substring(1).split("/"));
    }

    /** Returns a number from the query, or the one given if it is absent. */
    long query(String name, long absent) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null ? absent : Long.parseLong(values.getFirst());
    }

    /** Returns a header, or nothing as an empty text. */
    String header(String name) {
        String value = exchange.getRequestHeaders().getFirst(name);
        return value == null ? "" : value;
    }

    /** Reads the body as JSON. */
    JsonNode json() {
        try {
            return Json.MAPPER.readTree(body);
        } catch (IOException malformed) {
            throw new IllegalArgumentException("the body is no JSON: " + malformed.getMessage(), malformed);
        }
    }
}
