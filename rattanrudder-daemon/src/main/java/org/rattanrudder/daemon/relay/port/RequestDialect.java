package org.rattanrudder.daemon.relay.port;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.rattanrudder.core.gateway.RequestMetadata;

/** Translates requests and answers. */
public interface RequestDialect {
    /**
     * Reads the head of a caller's request.
     *
     * @throws IllegalArgumentException if a value can't be read
     */
    RequestMetadata read(HttpRequest request);

    /** Returns the headers of a request as a target gets them, without those that frame its body. */
    HttpHeaders forTarget(HttpHeaders fromCaller, ForwardingMetadata forwarding);

    /** Reads the head of a target's answer. */
    ResponseMetadata read(HttpResponse answer);

    /** Returns the headers of an answer as the caller gets them, without those that frame its body. */
    HttpHeaders forCaller(HttpHeaders fromTarget);

    /** Returns the headers of an answer of our own to a request with the id; an empty id is left out. */
    HttpHeaders localReplyHeaders(String requestId);
}
