package org.rattanrudder.daemon.relay;

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
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;
import org.rattanrudder.core.model.ErrorKind;

/**
 * Writes the answers on one caller's connection.
 *
 * <p>What begins an answer returns whether the connection may be used for another request after it.
 */
final class AnswerWriter {
    private final RelayState state;
    private final OwnAnswers ownAnswers;
    private final ChannelHandlerContext context;
    private boolean chunked;

    AnswerWriter(RelayState state, ChannelHandlerContext context) {
        this.state = state;
        this.context = context;
        ownAnswers = new OwnAnswers(state.platform().requests(), state.random());
    }

    /**
     * Answers with an error of our own.
     *
     * @param head the request's head; null if there is none
     * @param leftMillis the time that its caller still has; 0 if unknown
     */
    boolean error(HttpRequest head, ErrorKind error, String requestId, long leftMillis) {
        return own(head, ownAnswers.error(error, requestId, leftMillis));
    }

    /** Answers with an error of our own that holds for so long, in ms, whenever the caller comes back. */
    boolean errorFor(HttpRequest head, ErrorKind error, String requestId, long millis) {
        return own(head, ownAnswers.errorFor(error, requestId, millis));
    }

    private boolean own(HttpRequest head, DefaultFullHttpResponse response) {
        boolean keep = persist(head, response);
        context.writeAndFlush(response);
        return keep;
    }

    /** Answers with a target's answer that is whole. */
    boolean whole(HttpRequest head, HttpResponse from, HttpHeaders headers, ByteBuf content) {
        ByteBuf body = content == null ? Unpooled.EMPTY_BUFFER : content;
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, from.status(), body);
        response.headers().set(headers);
        if (head.method().equals(HttpMethod.HEAD)) {
            Optional.ofNullable(from.headers().get(HttpHeaderNames.CONTENT_LENGTH))
                    .ifPresent(length -> response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length));
        } else if (mayHaveBody(from)) {
            HttpUtil.setContentLength(response, body.readableBytes());
        }
        boolean keep = persist(head, response);
        context.writeAndFlush(response);
        return keep;
    }

    private static boolean mayHaveBody(HttpResponse response) {
        int status = response.status().code();
        return status != HttpResponseStatus.NO_CONTENT.code() && status != HttpResponseStatus.NOT_MODIFIED.code();
    }

    /** Begins an answer that comes in pieces. */
    boolean begin(HttpRequest head, HttpResponse from, HttpHeaders headers) {
        DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, from.status());
        response.headers().set(headers);
        chunked = head.protocolVersion().equals(HttpVersion.HTTP_1_1);
        if (chunked) {
            HttpUtil.setTransferEncodingChunked(response, true);
        } else {
            // An older caller learns the end of the answer from the end of the connection.
            HttpUtil.setKeepAlive(head, false);
        }
        boolean keep = persist(head, response);
        context.write(response);
        return keep;
    }

    /** Passes on a piece, which is taken over. */
    void piece(ByteBuf piece) {
        context.writeAndFlush(new DefaultHttpContent(piece));
    }

    /** Ends an answer that came in pieces. */
    void end() {
        context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /** Ends the connection in the middle of an answer; without chunks only a reset shows that it isn't complete. */
    void abort() {
        if (!chunked && context.channel() instanceof SocketChannel socket) {
            socket.config().setSoLinger(0);
        }
        context.close();
    }

    private boolean persist(HttpRequest head, HttpResponse response) {
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
