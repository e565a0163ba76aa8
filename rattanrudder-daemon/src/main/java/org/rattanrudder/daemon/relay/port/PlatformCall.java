package org.rattanrudder.daemon.relay.port;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * An HTTP call to the platform's store, an engine or a context store.
 *
 * @param method the HTTP method
 * @param requestUri path and query
 * @param headers headers in addition to the usual ones
 * @param body the body; empty if none
 */
public record PlatformCall(HttpMethod method, String requestUri, HttpHeaders headers, byte[] body) {}
