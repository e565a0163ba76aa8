package org.rattanrudder.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.rattanrudder.daemon.relay.port.ResponseMetadata;

/** Takes a target's answer to one request. After {@code complete} or {@code broken} nothing more comes. */
interface AnswerSink {
    /** Takes the head. */
    void head(HttpResponse response, ResponseMetadata facts);

    /** Takes a piece of the body; the sink doesn't own it. */
    void content(ByteBuf piece);

    /** The answer is whole. */
    void complete();

    /** The connection ended, or what came is no answer. */
    void broken(String reason);
}
