package org.rattanrudder.daemon.relay.port;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Set;
import org.rattanrudder.core.gateway.RequestMetadata;

/** Translates requests and responses. */
public interface RequestDialect {
    /**
     * Parses the head of a caller's request.
     *
     * @throws IllegalArgumentException if a value is malformed
     */
    RequestMetadata read(HttpRequest request);

    /** Returns the headers of a request as sent to a target, without those that frame its body. */
    HttpHeaders forTarget(HttpHeaders fromCaller, ForwardingMetadata forwarding);

    /** Parses the head of a target's response. */
    ResponseMetadata read(HttpResponse answer);

    /** Returns the names of the headers that say which request a response is for and how it went: none comes twice. */
    Set<String> singleResponseHeaders();

    /** Returns the headers of a response as sent to the caller, without those that frame its body. */
    HttpHeaders forCaller(HttpHeaders fromTarget);

    /** Returns the headers of a local reply to a request; an empty request ID is left out. */
    HttpHeaders localReplyHeaders(String requestId);
}
