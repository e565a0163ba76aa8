package org.rattanrudder.daemon.relay;

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
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.rattanrudder.core.gateway.RequestMetadata;
import org.rattanrudder.core.gateway.ServingConfiguration.AccessDecision;
import org.rattanrudder.core.model.ErrorKind;

/**
 * A caller's connection: reads one request after the other and writes their answers in order.
 *
 * <p>Requests that arrive while one is served wait here, few at a time. A request is looked at as soon as its head is
 * there, and answered or sent on when its body is.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    /** Pieces of later requests that wait while one is served; beyond that the caller has to wait with sending. */
    private static final int WAITING_PIECES = 64;

    /** How long a connection that we close is still read, in ms, so that a reset doesn't overtake the last answer. */
    private static final long LINGER_MILLIS = 500;

    /** How long a request waits while the loop is late, in ms: one turn, in which a close behind it is seen. */
    private static final long LATE_TURN_MILLIS = 2;

    private final RelayState state;
    private final TargetPools pools;
    private final Set<CallerConnection> open;
    private final Deque<Object> waiting = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private AnswerWriter answers;
    private HttpRequest head;
    private RequestMetadata facts;
    private AccessDecision admittance;
    private ErrorKind problem;
    private ByteBuf body;
    private Exchange exchange;
    private long arrivedAt;
    private long lastReadAt;
    private long partialHeadSince = -1;
    private boolean closing;
    private boolean proceeding;

    CallerConnection(RelayState state, TargetPools pools, Set<CallerConnection> open) {
        this.state = state;
        this.pools = pools;
        this.open = open;
    }

    @Override
    public void channelActive(ChannelHandlerContext active) {
        context = active;
        answers = new AnswerWriter(state, active);
        lastReadAt = state.nowMillis();
        open.add(this);
    }

    /**
     * Reads what has arrived without waiting for the loop's next turn, and returns whether the connection has ended;
     * its exchange is cancelled soon after. Turns are long while the processor is short, and what is ready in one is
     * handled in any order: a request would be sent on before the end of its connection is seen.
     */
    boolean hasLeft() {
        if (context.channel().isActive() && context.channel().unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            socket.read();
        }
        return !context.channel().isActive();
    }

    /** Notes raw bytes, which may be a part of a head. */
    void bytesRead() {
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
        if (exchange != null || !waiting.isEmpty()) {
            waiting.add(message);
            if (waiting.size() > WAITING_PIECES) {
                context.channel().config().setAutoRead(false);
            }
            return;
        }
        take(message);
    }

    private void take(Object message) {
        try {
            if (message instanceof HttpRequest request) {
                takeHead(request);
            }
            if (message instanceof HttpContent content && head != null) {
                takeBody(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void takeHead(HttpRequest request) {
        partialHeadSince = -1;
        head = request;
        arrivedAt = state.nowMillis();
        problem = null;
        admittance = null;
        facts = null;
        body = Unpooled.buffer(0);
        if (request.decoderResult().isFailure()) {
            refuseUnread(unreadable(request.decoderResult().cause()));
            return;
        }
        try {
            facts = state.platform().requests().read(request);
        } catch (IllegalArgumentException malformed) {
            problem = ErrorKind.MALFORMED_REQUEST;
            return;
        }
        admit();
        if (problem == null && HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private static ErrorKind unreadable(Throwable cause) {
        boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        return tooLong ? ErrorKind.HEADERS_TOO_LARGE : ErrorKind.MALFORMED_REQUEST;
    }

    private void admit() {
        if (state.isRefusingRequests()) {
            problem = ErrorKind.DRAINING;
            return;
        }
        if (state.configuration().isEmpty()) {
            // Without a configuration nothing is known to be wrong with the request.
            problem = ErrorKind.LOG_UNAVAILABLE;
            return;
        }
        admittance = state.configuration().get().authorize(facts.host(), head.uri(), facts.credential());
        if (admittance instanceof AccessDecision.Denied denied) {
            problem = denied.error();
        } else if (!state.accepts(((AccessDecision.Granted) admittance).route())) {
            problem = ErrorKind.DRAINING;
        }
    }

    private void takeBody(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            refuseUnread(ErrorKind.MALFORMED_REQUEST);
            return;
        }
        if (body.readableBytes() + (long) content.content().readableBytes()
                > state.limits().maxBodyBytes()) {
            refuseUnread(ErrorKind.BODY_TOO_LARGE);
            return;
        }
        if (problem == null) {
            body.writeBytes(content.content());
        }
        if (content instanceof LastHttpContent) {
            served();
        }
    }

    /** The request is whole. */
    private void served() {
        if (problem != null) {
            ErrorKind error = problem;
            logDenied(error);
            refuse(error, facts == null ? "" : facts.id(), callerLeft());
            body.release();
            nextRequest();
            return;
        }
        RequestPlan plan = new RequestPlan(state, facts, (AccessDecision.Granted) admittance, arrivedAt);
        exchange = new Exchange(state, pools, this, head, body, plan);
        if (state.eventLoopLag().isLate(state.nowMillis())) {
            startAfterATurn(exchange);
        } else {
            exchange.start();
        }
    }

    /**
     * Starts a request once the loop has read its connections again. The time begins with the tasks of this turn: begun
     * while connections are read it could be over in the same turn, as long as many are ready, and no close was seen
     * (400 callers that left while a relay stood still: their requests were sent on).
     */
    private void startAfterATurn(Exchange waiting) {
        EventExecutor loop = context.executor();
        loop.execute(() -> loop.schedule(waiting::start, LATE_TURN_MILLIS, TimeUnit.MILLISECONDS));
    }

    private long callerLeft() {
        return facts == null ? 0 : facts.deadlineMillis().orElse(0) - (state.nowMillis() - arrivedAt);
    }

    private void logDenied(ErrorKind error) {
        state.metrics().recordRequest("none", error.wireName());
        state.log()
                .info(
                        "request_denied",
                        "request",
                        facts == null ? "" : facts.id(),
                        "error",
                        error.wireName(),
                        "host",
                        facts == null ? "" : facts.host(),
                        "path",
                        head == null ? "" : head.uri(),
                        "configuration",
                        state.configuration()
                                .map(configuration -> Long.toString(configuration.version()))
                                .orElse("none"));
    }

    /** Answers before the request is read in full; what is left of it would be taken for a request. */
    private void refuseUnread(ErrorKind error) {
        logDenied(error);
        refuse(error, facts == null ? "" : facts.id(), 0);
        releaseBody();
        head = null;
        closeGently();
    }

    /** Answers with an error of our own. */
    void refuse(ErrorKind error, String requestId, long leftMillis) {
        closing |= !answers.error(head, error, requestId, leftMillis);
    }

    /** Answers with an error of our own that holds for so long, in ms, whenever the caller comes back. */
    void refuseFor(ErrorKind error, String requestId, long millis) {
        closing |= !answers.errorFor(head, error, requestId, millis);
    }

    /** Answers with a target's answer that is whole. */
    void answer(HttpResponse from, HttpHeaders headers, ByteBuf content) {
        closing |= !answers.whole(head, from, headers, content);
    }

    /** Begins an answer that comes in pieces. */
    void begin(HttpResponse from, HttpHeaders headers) {
        closing |= !answers.begin(head, from, headers);
    }

    /** Passes on a piece, which is taken over. */
    void write(ByteBuf piece) {
        answers.piece(piece);
    }

    /** Ends an answer that came in pieces. */
    void finish() {
        answers.end();
    }

    /** Ends the connection in the middle of an answer, so that it doesn't look complete. */
    void abort() {
        closing = true;
        answers.abort();
    }

    /** Goes on with the next request. */
    void exchangeEnded() {
        exchange = null;
        nextRequest();
    }

    private void nextRequest() {
        head = null;
        body = null;
        lastReadAt = state.nowMillis();
        if (closing) {
            closeGently();
            return;
        }
        if (proceeding) {
            return;
        }
        proceeding = true;
        while (exchange == null && !closing && !waiting.isEmpty()) {
            take(waiting.poll());
        }
        proceeding = false;
        if (waiting.isEmpty()) {
            context.channel().config().setAutoRead(true);
        }
    }

    /**
     * Closes the connection once all that was written has left. The time in which it is still read begins then: from
     * the last write on, a caller that reads slowly would lose what waits for it here. One that reads nothing any more
     * is waited for as long as an idle one.
     */
    private void closeGently() {
        closing = true;
        dropWaiting();
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

    /** Looks whether the caller takes too long; called every now and then. */
    void sweep(long nowMillis, boolean closeIdle) {
        if (exchange != null || closing) {
            return;
        }
        if (head != null || partialHeadSince >= 0) {
            boolean slowHead = head == null
                    && nowMillis - partialHeadSince > state.limits().headerTimeoutMillis();
            boolean slowBody =
                    head != null && nowMillis - lastReadAt > state.limits().idleTimeoutMillis();
            if (slowHead || slowBody) {
                refuseUnread(ErrorKind.REQUEST_TIMEOUT);
            }
            return;
        }
        if (closeIdle || nowMillis - lastReadAt > state.limits().idleTimeoutMillis()) {
            closing = true;
            context.close();
        }
    }

    /** Returns whether a request is being read or served, or a part of an answer hasn't left yet. */
    boolean isBusy() {
        return exchange != null || head != null || partialHeadSince >= 0 || hasUnsent();
    }

    private boolean hasUnsent() {
        ChannelOutboundBuffer unsent = context.channel().unsafe().outboundBuffer();
        return unsent != null && unsent.totalPendingWriteBytes() > 0;
    }

    /** The process ends: whoever waits for an answer gets its last one. */
    void onShutdown() {
        if (exchange != null) {
            exchange.processEnds();
        }
    }

    private void dropWaiting() {
        waiting.forEach(ReferenceCountUtil::release);
        waiting.clear();
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
            exchange.callerWritable(active.channel().isWritable());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext active) {
        open.remove(this);
        closing = true;
        dropWaiting();
        if (exchange != null) {
            exchange.cancelled();
        } else if (head != null) {
            releaseBody();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext active, Throwable cause) {
        // A reset by the caller: what it asked for is cancelled when the connection ends, right after this.
        active.close();
    }
}
