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
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.rattanrudder.core.memory.Holding;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.daemon.http.ResponseBodies;
import org.rattanrudder.daemon.relay.process.RelayState;

/**
 * Writes the responses to one caller's connection, one for each request in turn, and knows whether the connection can
 * be used on behind them.
 */
final class ResponseWriter {
    private final RelayState state;
    private final LocalReplies localReplies;
    private final ChannelHandlerContext context;
    private final UnsentBytes unsent;
    private final BooleanSupplier followed;
    private HttpRequest head;
    private boolean chunked;
    private boolean connectionEnds;

    /**
     * Creates a writer that counts what the caller doesn't take at once.
     *
     * @param followed returns whether more was read behind the request whose response is written
     */
    ResponseWriter(RelayState state, ChannelHandlerContext context, UnsentBytes unsent, BooleanSupplier followed) {
        this.state = state;
        this.context = context;
        this.unsent = unsent;
        this.followed = followed;
        localReplies = new LocalReplies(state.platform().requests(), state.random());
    }

    /**
     * Begins with the next request.
     *
     * @param next its head; null if none was read
     */
    void onRequest(HttpRequest next) {
        head = next;
    }

    /** Names who receives the responses from now on, for the count of what is held for it. */
    void setReceiver(String name) {
        unsent.setReceiver(name);
    }

    /** Returns whether the connection ends with a response that was begun. */
    boolean endsConnection() {
        return connectionEnds;
    }

    /** Returns whether the request is a HEAD request, whose response has no body. */
    boolean isHeadRequest() {
        return head.method().equals(HttpMethod.HEAD);
    }

    /** Returns an empty holding for what isn't written yet of a response. */
    Holding newHolding() {
        return unsent.newHolding();
    }

    /** Returns whether more of a response was written than the process may hold. */
    boolean hasOverflowed() {
        return unsent.hasOverflowed();
    }

    /** Returns whether the caller has taken enough of its response for more of it to be read. */
    boolean takesMore() {
        return context.channel().isWritable() && unsent.allowsMore();
    }

    /** Asks the caller for the body of its request. */
    void goOn() {
        context.writeAndFlush(
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }

    /**
     * Writes a local error reply.
     *
     * @param remainingMillis the time until the caller's deadline; 0 if unknown
     */
    void error(ErrorKind error, String requestId, long remainingMillis) {
        writeLocalReply(localReplies.error(error, requestId, remainingMillis));
    }

    /** Writes a local error reply that asks the caller to retry after the given time, regardless of its deadline. */
    void errorWithRetryAfter(ErrorKind error, String requestId, long millis) {
        writeLocalReply(localReplies.errorWithRetryAfter(error, requestId, millis));
    }

    private void writeLocalReply(DefaultFullHttpResponse response) {
        setKeepAlive(response);
        if (head != null && head.method().equals(HttpMethod.HEAD)) {
            context.writeAndFlush(response.replace(Unpooled.EMPTY_BUFFER));
            response.release();
        } else {
            int bytes = response.content().readableBytes();
            unsent.onWritten(context.writeAndFlush(response), bytes);
        }
    }

    /** Writes a target's complete response, which is held until it is sent. */
    void full(HttpResponse from, HttpHeaders headers, ByteBuf content, Holding held) {
        ByteBuf body = content == null ? Unpooled.EMPTY_BUFFER : content;
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, from.status(), body);
        response.headers().set(headers);
        if (head.method().equals(HttpMethod.HEAD)) {
            Optional.ofNullable(from.headers().get(HttpHeaderNames.CONTENT_LENGTH))
                    .ifPresent(length -> response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length));
        } else if (ResponseBodies.mayFollow(from.status())) {
            HttpUtil.setContentLength(response, body.readableBytes());
        }
        setKeepAlive(response);
        unsent.onWritten(context.writeAndFlush(response), held);
    }

    /** Writes the head of a response that is sent in chunks. */
    void begin(HttpResponse from, HttpHeaders headers) {
        DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, from.status());
        response.headers().set(headers);
        chunked = head.protocolVersion().equals(HttpVersion.HTTP_1_1);
        if (chunked) {
            HttpUtil.setTransferEncodingChunked(response, true);
        } else {
            // An HTTP/1.0 response without a length ends when the connection is closed.
            HttpUtil.setKeepAlive(head, false);
        }
        setKeepAlive(response);
        context.write(response);
    }

    /** Writes a chunk of the body and takes ownership of it. */
    void content(ByteBuf chunk) {
        int bytes = chunk.readableBytes();
        unsent.onWritten(context.writeAndFlush(new DefaultHttpContent(chunk)), bytes);
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
        connectionEnds = true;
        if (!chunked && context.channel() instanceof SocketChannel socket) {
            socket.config().setSoLinger(0);
        }
        context.close();
    }

    private void setKeepAlive(HttpResponse response) {
        boolean keep = head != null
                && HttpUtil.isKeepAlive(head)
                && (!state.isDraining() || followed.getAsBoolean())
                && !head.decoderResult().isFailure();
        connectionEnds |= !keep;
        if (!keep) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        } else if (head.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
        }
    }
}
