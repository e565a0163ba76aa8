package org.rattanrudder.daemon.relay.serving;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.rattanrudder.core.gateway.RequestMetadata;
import org.rattanrudder.core.gateway.ServingConfiguration.AccessDecision;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.daemon.relay.process.RelayState;

/**
 * Serves a caller's connection: reads requests one after the other and writes the responses in order.
 *
 * <p>Requests that arrive while one is served are queued here, up to a limit. A request is authorized as soon as its
 * head is read, and answered or sent on once its body is complete.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    /** Messages of later requests that are queued while one is served; beyond that, reading is paused. */
    private static final int MAX_QUEUED_MESSAGES = 64;

    /**
     * How long a connection that the relay closes is still read, so that a reset doesn't overtake the last response.
     */
    private static final long LINGER_MILLIS = 500;

    /** How long a request waits while the event loop is late: one iteration, in which a close sent after it is read. */
    private static final long LATE_START_DELAY_MILLIS = 2;

    private final ServingComponents components;
    private final RelayState state;
    private final Set<CallerConnection> connections;
    private final Deque<Object> queued = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private ResponseWriter writer;
    private HttpRequest head;
    private RequestMetadata metadata;
    private AccessDecision access;
    private ErrorKind problem;
    private ByteBuf body;
    private RequestPlan plan;
    private Optional<QueueRejection.Rejection> rejection = Optional.empty();
    private Exchange exchange;
    private long arrivedAt;
    private long lastReadAt;
    private long partialHeadSince = -1;
    private boolean closing;
    private boolean drainingQueue;

    CallerConnection(ServingComponents components, Set<CallerConnection> connections) {
        this.components = components;
        state = components.state();
        this.connections = connections;
    }

    @Override
    public void channelActive(ChannelHandlerContext active) {
        context = active;
        writer = new ResponseWriter(state, active);
        lastReadAt = state.nowMillis();
        connections.add(this);
    }

    /**
     * Reads pending bytes without waiting for the next iteration of the event loop, and returns whether the connection
     * was closed; its exchange is cancelled soon after. Iterations are long while CPU is short, and ready connections
     * are handled in any order: a request would be sent on before the close of its connection is read.
     */
    boolean hasDisconnected() {
        if (context.channel().isActive() && context.channel().unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            socket.read();
        }
        return !context.channel().isActive();
    }

    /** Records raw bytes, which may be a part of a request head. */
    void onBytesRead() {
        lastReadAt = state.nowMillis();
        if (partialHeadSince < 0 && head == null) {
            partialHeadSince = lastReadAt;
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext active, Object message) {
        if (closing) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (exchange != null || !queued.isEmpty()) {
            queued.add(message);
            if (queued.size() > MAX_QUEUED_MESSAGES) {
                context.channel().config().setAutoRead(false);
            }
            return;
        }
        handle(message);
    }

    private void handle(Object message) {
        try {
            if (message instanceof HttpRequest request) {
                handleHead(request);
            }
            if (message instanceof HttpContent content && head != null) {
                handleContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void handleHead(HttpRequest request) {
        partialHeadSince = -1;
        head = request;
        arrivedAt = state.nowMillis();
        body = Unpooled.buffer(0);
        if (request.decoderResult().isFailure()) {
            refuseUnread(decodeError(request.decoderResult().cause()));
            return;
        }
        try {
            metadata = state.platform().requests().read(request);
        } catch (IllegalArgumentException malformed) {
            problem = ErrorKind.MALFORMED_REQUEST;
            return;
        }
        admit();
        boolean bodyFollows = !HttpUtil.is100ContinueExpected(request);
        if (rejection.isPresent() && !bodyFollows) {
            // The caller may send the body or not; what follows can't be told from another request.
            rejectUnread();
        } else if (problem == null && !bodyFollows) {
            context.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private static ErrorKind decodeError(Throwable cause) {
        boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        return tooLong ? ErrorKind.HEADERS_TOO_LARGE : ErrorKind.MALFORMED_REQUEST;
    }

    private void admit() {
        if (state.isRefusingRequests()) {
            problem = ErrorKind.DRAINING;
            return;
        }
        if (state.configuration().isEmpty()) {
            // Without a configuration it isn't known whether the request is valid, so the caller isn't at fault.
            problem = ErrorKind.LOG_UNAVAILABLE;
            return;
        }
        access = state.configuration().get().authorize(metadata.host(), head.uri(), metadata.credential());
        if (access instanceof AccessDecision.Denied denied) {
            problem = denied.error();
        } else if (!state.accepts(((AccessDecision.Granted) access).route())) {
            problem = ErrorKind.DRAINING;
        } else if (components.queues().rejection().isOn()) {
            plan = new RequestPlan(state, metadata, (AccessDecision.Granted) access, arrivedAt);
            rejection = components.queues().rejection().onHead(plan);
        }
    }

    private void handleContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            refuseUnread(ErrorKind.MALFORMED_REQUEST);
            return;
        }
        if (body.readableBytes() + (long) content.content().readableBytes()
                > state.limits().maxBodyBytes()) {
            refuseUnread(ErrorKind.BODY_TOO_LARGE);
            return;
        }
        if (problem == null && rejection.isEmpty()) {
            body.writeBytes(content.content());
        }
        if (content instanceof LastHttpContent) {
            onRequestComplete();
        }
    }

    /** Rejects the complete request or starts its exchange. */
    private void onRequestComplete() {
        if (problem != null) {
            ErrorKind error = problem;
            logDenied(error);
            refuse(error, metadata == null ? "" : metadata.id(), remainingMillis());
            body.release();
            nextRequest();
            return;
        }
        if (rejection.isPresent()) {
            replyRejected();
            body.release();
            nextRequest();
            return;
        }
        if (plan == null) {
            plan = new RequestPlan(state, metadata, (AccessDecision.Granted) access, arrivedAt);
        }
        exchange = new Exchange(components, this, head, body, plan);
        if (state.eventLoopLag().isLate(state.nowMillis())) {
            startAfterRead(exchange);
        } else {
            exchange.start();
        }
    }

    /** Tells the caller when to retry a request that was rejected by its head; its body has been dropped. */
    private void replyRejected() {
        refuseWithRetryAfter(
                ErrorKind.OVERLOADED, metadata.id(), rejection.get().retryAfterMillis());
        FinalReply.Ending ending = new FinalReply.Ending(ErrorKind.OVERLOADED.wireName(), QueueRejection.REASON);
        state.metrics().recordRequest(plan.route().name(), ending.outcome());
        new ExchangeLog(state, plan).ended(ending, Optional.empty(), "unknown", 0, 0);
    }

    /**
     * Starts an exchange once the event loop has read its connections again. The delay is scheduled from a task:
     * scheduled while connections are read, it could expire in the same iteration if many are ready, before their close
     * is read (400 callers disconnected while a relay was stalled, and their requests were sent on).
     */
    private void startAfterRead(Exchange waiting) {
        EventExecutor loop = context.executor();
        loop.execute(() -> loop.schedule(waiting::start, LATE_START_DELAY_MILLIS, TimeUnit.MILLISECONDS));
    }

    private long remainingMillis() {
        return metadata == null ? 0 : metadata.deadlineMillis().orElse(0) - (state.nowMillis() - arrivedAt);
    }

    private void logDenied(ErrorKind error) {
        state.metrics().recordRequest("none", error.wireName());
        state.log()
                .info(
                        "request_denied",
                        "request",
                        metadata == null ? "" : metadata.id(),
                        "error",
                        error.wireName(),
                        "host",
                        metadata == null ? "" : metadata.host(),
                        "path",
                        head == null ? "" : head.uri(),
                        "configuration",
                        state.configuration()
                                .map(configuration -> Long.toString(configuration.version()))
                                .orElse("none"));
    }

    /**
     * Rejects a request before it is read in full and closes the connection; the rest would be parsed as another
     * request.
     */
    private void refuseUnread(ErrorKind error) {
        logDenied(error);
        refuse(error, metadata == null ? "" : metadata.id(), 0);
        releaseBody();
        head = null;
        closeGracefully();
    }

    /** Replies to a request that was rejected by its head, before its body is read, and closes the connection. */
    private void rejectUnread() {
        replyRejected();
        releaseBody();
        head = null;
        closeGracefully();
    }

    /** Writes a local error reply. */
    void refuse(ErrorKind error, String requestId, long remainingMillis) {
        closing |= !writer.error(head, error, requestId, remainingMillis);
    }

    /** Writes a local error reply that asks the caller to retry after the given time, regardless of its deadline. */
    void refuseWithRetryAfter(ErrorKind error, String requestId, long millis) {
        closing |= !writer.errorWithRetryAfter(head, error, requestId, millis);
    }

    /** Returns whether the request that is being served is a HEAD request, whose response has no body. */
    boolean isHeadRequest() {
        return head.method().equals(HttpMethod.HEAD);
    }

    /** Writes a target's complete response. */
    void answer(HttpResponse from, HttpHeaders headers, ByteBuf content) {
        closing |= !writer.full(head, from, headers, content);
    }

    /** Writes the head of a response that is sent in chunks. */
    void begin(HttpResponse from, HttpHeaders headers) {
        closing |= !writer.begin(head, from, headers);
    }

    /** Writes a chunk of the body and takes ownership of it. */
    void write(ByteBuf chunk) {
        writer.content(chunk);
    }

    /** Ends a response that was sent in chunks. */
    void finish() {
        writer.end();
    }

    /** Closes the connection at once, in the middle of a response. */
    void abort() {
        closing = true;
        writer.abort();
    }

    /** Continues with the next request after an exchange has ended. */
    void onExchangeEnded() {
        exchange = null;
        nextRequest();
    }

    private void nextRequest() {
        forgetRequest();
        lastReadAt = state.nowMillis();
        if (closing) {
            closeGracefully();
            return;
        }
        if (drainingQueue) {
            return;
        }
        drainingQueue = true;
        while (exchange == null && !closing && !queued.isEmpty()) {
            handle(queued.poll());
        }
        drainingQueue = false;
        if (queued.isEmpty()) {
            context.channel().config().setAutoRead(true);
        }
    }

    /** Nothing of a request may be taken for a part of the next one, not even if that is never read whole. */
    private void forgetRequest() {
        head = null;
        body = null;
        problem = null;
        access = null;
        metadata = null;
        plan = null;
        rejection = Optional.empty();
    }

    /**
     * Closes the connection once everything written was sent. The linger time starts then: started at the last write,
     * it would cut off what a slow reader hasn't received yet. A caller that reads nothing any more is closed after the
     * idle timeout.
     */
    private void closeGracefully() {
        closing = true;
        releaseQueued();
        context.channel().config().setAutoRead(true);
        if (context.channel() instanceof SocketChannel socket && socket.isActive()) {
            context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> {
                socket.shutdownOutput();
                closeAfter(LINGER_MILLIS);
            });
            closeAfter(Math.max(LINGER_MILLIS, state.limits().idleTimeoutMillis()));
        }
    }

    private void closeAfter(long millis) {
        context.executor().schedule(() -> context.close(), millis, TimeUnit.MILLISECONDS);
    }

    /** Returns how long a body may take to arrive, in ms: while it is of use; less if it is dropped. */
    private long maxBodyMillis() {
        return problem != null || rejection.isPresent()
                ? state.limits().headerTimeoutMillis()
                : Math.max(
                        state.limits().idleTimeoutMillis(),
                        metadata.deadlineMillis().orElse(0));
    }

    /** Closes the connection if the caller is too slow or idle; called periodically. */
    void sweep(long nowMillis, boolean closeIdle) {
        if (exchange != null || closing) {
            return;
        }
        if (head != null || partialHeadSince >= 0) {
            boolean slowHead = head == null
                    && nowMillis - partialHeadSince > state.limits().headerTimeoutMillis();
            boolean idleBody =
                    head != null && nowMillis - lastReadAt > state.limits().idleTimeoutMillis();
            boolean slowBody = head != null && nowMillis - arrivedAt > maxBodyMillis();
            if (rejection.isPresent() && (idleBody || slowBody)) {
                rejectUnread();
            } else if (slowHead || idleBody || slowBody) {
                refuseUnread(problem == null ? ErrorKind.REQUEST_TIMEOUT : problem);
            }
            return;
        }
        if (closeIdle || nowMillis - lastReadAt > state.limits().idleTimeoutMillis()) {
            closing = true;
            context.close();
        }
    }

    /** Returns whether a request is being read or served, or a response isn't sent in full. */
    boolean isBusy() {
        return exchange != null || head != null || partialHeadSince >= 0 || hasUnsent();
    }

    private boolean hasUnsent() {
        ChannelOutboundBuffer unsent = context.channel().unsafe().outboundBuffer();
        return unsent != null && unsent.totalPendingWriteBytes() > 0;
    }

    /** Ends the exchange on shutdown; its caller gets a final response. */
    void onShutdown() {
        if (exchange != null) {
            exchange.onShutdown();
        }
    }

    private void releaseQueued() {
        queued.forEach(ReferenceCountUtil::release);
        queued.clear();
    }

    private void releaseBody() {
        if (body != null) {
            body.release();
            body = null;
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext active) {
        if (exchange != null) {
            exchange.onCallerWritabilityChanged(active.channel().isWritable());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext active) {
        connections.remove(this);
        closing = true;
        releaseQueued();
        if (exchange != null) {
            exchange.onCallerDisconnected();
        } else if (head != null) {
            releaseBody();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext active, Throwable cause) {
        // Reset by the caller: channelInactive follows and cancels the exchange.
        active.close();
    }
}
