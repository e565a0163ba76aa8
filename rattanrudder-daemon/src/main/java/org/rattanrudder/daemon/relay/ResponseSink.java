package org.rattanrudder.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.rattanrudder.daemon.relay.port.ResponseMetadata;

/** Handles a target's response to one request. No call follows {@code onComplete} or {@code onBroken}. */
interface ResponseSink {
    /** Handles the response head. */
    void onHead(HttpResponse response, ResponseMetadata metadata);

    /** Handles a chunk of the body; the sink doesn't own the buffer. */
    void onContent(ByteBuf chunk);

    /** Handles the end of a complete response. */
    void onComplete();

    /** Handles a closed connection or an invalid response. */
    void onBroken(String reason);
}
