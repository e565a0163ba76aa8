package org.rattanrudder.daemon.relay.serving;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.daemon.relay.process.RelayState;
import org.rattanrudder.daemon.relay.targets.ResponseFraming;

/**
 * Writes responses to one caller's connection.
 *
 * <p>Methods that start a response return whether the connection can be reused for another request.
 */
final class ResponseWriter {
    private final RelayState state;
    private final LocalReplies localReplies;
    private final ChannelHandlerContext context;
    private boolean chunked;

    ResponseWriter(RelayState state, ChannelHandlerContext context) {
        this.state = state;
        this.context = context;
        localReplies = new LocalReplies(state.platform().requests(), state.random());
    }

    /**
     * Writes a local error reply.
     *
     * @param head the head of the request; null if there is none
     * @param remainingMillis the time until the caller's deadline; 0 if unknown
     */
    boolean error(HttpRequest head, ErrorKind error, String requestId, long remainingMillis) {
        return writeLocalReply(head, localReplies.error(error, requestId, remainingMillis));
    }

    /** Writes a local error reply that asks the caller to retry after the given time, regardless of its deadline. */
    boolean errorWithRetryAfter(HttpRequest head, ErrorKind error, String requestId, long millis) {
        return writeLocalReply(head, localReplies.errorWithRetryAfter(error, requestId, millis));
    }

    private boolean writeLocalReply(HttpRequest head, DefaultFullHttpResponse response) {
        boolean keep = setKeepAlive(head, response);
        if (head != null && head.method().equals(HttpMethod.HEAD)) {
            context.writeAndFlush(response.replace(Unpooled.EMPTY_BUFFER));
            response.release();
        } else {
            context.writeAndFlush(response);
        }
        return keep;
    }

    /** Writes a target's complete response. */
    boolean full(HttpRequest head, HttpResponse from, HttpHeaders headers, ByteBuf content) {
        ByteBuf body = content == null ? Unpooled.EMPTY_BUFFER : content;
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, from.status(), body);
        response.headers().set(headers);
        if (head.method().equals(HttpMethod.HEAD)) {
            Optional.ofNullable(from.headers().get(HttpHeaderNames.CONTENT_LENGTH))
                    .ifPresent(length -> response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length));
        } else if (ResponseFraming.mayHaveBody(from.status())) {
            HttpUtil.setContentLength(response, body.readableBytes());
        }
        boolean keep = setKeepAlive(head, response);
        context.writeAndFlush(response);
        return keep;
    }

    /** Writes the head of a response that is sent in chunks. */
    boolean begin(HttpRequest head, HttpResponse from, HttpHeaders headers) {
        DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, from.status());
        response.headers().set(headers);
        chunked = head.protocolVersion().equals(HttpVersion.HTTP_1_1);
        if (chunked) {
            HttpUtil.setTransferEncodingChunked(response, true);
        } else {
            // An HTTP/1.0 response without a length ends when the connection is closed.
            HttpUtil.setKeepAlive(head, false);
        }
        boolean keep = setKeepAlive(head, response);
        context.write(response);
        return keep;
    }

    /** Writes a chunk of the body and takes ownership of it. */
    void content(ByteBuf chunk) {
        context.writeAndFlush(new DefaultHttpContent(chunk));
    }

    /** Ends a response that was sent in chunks. */
    void end() {
        context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /**
     * Closes the connection in the middle of a response; without chunked encoding only a reset shows that the response
     * is incomplete.
     */
    void abort() {
        if (!chunked && context.channel() instanceof SocketChannel socket) {
            socket.config().setSoLinger(0);
        }
        context.close();
    }

    private boolean setKeepAlive(HttpRequest head, HttpResponse response) {
        boolean keep = head != null
                && HttpUtil.isKeepAlive(head)
                && !state.isDraining()
                && !head.decoderResult().isFailure();
        if (!keep) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        } else if (head.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
        }
        return keep;
    }
}
