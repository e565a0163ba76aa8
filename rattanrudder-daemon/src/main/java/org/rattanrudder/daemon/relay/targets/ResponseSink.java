package org.rattanrudder.daemon.relay.targets;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.rattanrudder.core.gateway.ResponseEnd;
import org.rattanrudder.daemon.relay.port.ResponseMetadata;

/** Handles a target's response to one request. No call follows {@code onEnd}. */
public interface ResponseSink {
    /** Handles the response head. */
    void onHead(HttpResponse response, ResponseMetadata metadata);

    /** Handles a chunk of the body; the sink doesn't own the buffer. */
    void onContent(ByteBuf chunk);

    /** Handles the end of the response, or of its connection if that came first. */
    void onEnd(ResponseEnd end);
}
