package org.rattanrudder.wire.http;

import java.util.ArrayList;
import java.util.List;
import org.rattanrudder.core.call.Header;

/**
 * One HTTP request.
 *
 * @param method the method, such as {@code GET}
 * @param path path and query, starting with a slash
 * @param headers headers besides {@code Host} and {@code Content-Length}, which are set from address and body
 * @param body the body; empty for none; shared, never written to
 * @param reuse whether a pooled connection may carry it. Only for calls that do no harm when repeated: a pooled
 *     connection may have been closed by its peer unseen, and then nobody knows whether the request arrived
 * @param timeouts how long it may take
 */
public record HttpRequest(
        String method, String path, List<Header> headers, byte[] body, boolean reuse, HttpTimeouts timeouts) {
    private static final byte[] NO_BODY = {};

    /** Copies the headers. */
    public HttpRequest {
        headers = List.copyOf(headers);
    }

    /** Returns a read without a body, on a pooled connection. */
    public static HttpRequest get(String path) {
        return new HttpRequest("GET", path, List.of(), NO_BODY, true, HttpTimeouts.DEFAULT);
    }

    /** Returns a request with a JSON body, on a connection of its own. */
    public static HttpRequest json(String method, String path, byte[] body) {
        return new HttpRequest(
                method,
                path,
                List.of(new Header("Content-Type", "application/json")),
                body,
                false,
                HttpTimeouts.DEFAULT);
    }

    /** Returns a request without a body, on a connection of its own. */
    public static HttpRequest of(String method, String path) {
        return new HttpRequest(method, path, List.of(), NO_BODY, false, HttpTimeouts.DEFAULT);
    }

    /** Returns the same request with one more header. */
    public HttpRequest with(String name, String value) {
        List<Header> more = new ArrayList<>(headers);
        more.add(new Header(name, value));
        return new HttpRequest(method, path, more, body, reuse, timeouts);
    }

    /** Returns the same request with other timeouts. */
    public HttpRequest within(HttpTimeouts other) {
        return new HttpRequest(method, path, headers, body, reuse, other);
    }

    /** Returns the same request, on a connection of its own. */
    public HttpRequest onNewConnection() {
        return new HttpRequest(method, path, headers, body, false, timeouts);
    }

    /** Returns the same request, allowed on a pooled connection. */
    public HttpRequest reusing() {
        return new HttpRequest(method, path, headers, body, true, timeouts);
    }
}
