package org.rattanrudder.daemon.relay.serving;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.EventExecutor;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.rattanrudder.core.memory.ByteUse;
import org.rattanrudder.core.memory.Holding;
import org.rattanrudder.core.memory.UploadLine;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.daemon.relay.process.RelayState;

/**
 * Serves a caller's connection: reads requests one after the other and writes the responses in order.
 *
 * <p>Requests that arrive while one is served are queued here, up to a limit. A request is authorized as soon as its
 * head is read, and answered or sent on once its body is complete.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    /** How long a request waits while the event loop is late: one iteration, in which a close sent after it is read. */
    private static final long LATE_START_DELAY_MILLIS = 2;

    private final ServingComponents components;
    private final RelayState state;
    private final Set<CallerConnection> connections;
    private final MemoryAdmission memory;
    private final StrictRequestDecoder decoder;
    private QueuedMessages queued;
    private Holding partialHead;
    private String address;
    private ChannelHandlerContext context;
    private ResponseWriter writer;
    private CallerSocket socket;
    private IncomingRequest request;
    private boolean waitsForRoom;
    private Exchange exchange;
    private long lastReadAt;
    private long partialHeadSince = -1;
    private boolean closing;
    private boolean drainingQueue;

    /** Creates a connection whose requests are parsed by a decoder, and which is among the connections while open. */
    CallerConnection(ServingComponents components, StrictRequestDecoder decoder, Set<CallerConnection> connections) {
        this.components = components;
        this.decoder = decoder;
        state = components.state();
        memory = components.memory();
        this.connections = connections;
    }

    @Override
    public void channelActive(ChannelHandlerContext active) {
        context = active;
        lastReadAt = state.nowMillis();
        socket = new CallerSocket(active.channel(), lastReadAt);
        address = socket.host();
        queued = new QueuedMessages(memory.holding(ByteUse.REQUEST, address));
        partialHead = memory.holding(ByteUse.REQUEST, address);
        UnsentBytes unsent = new UnsentBytes(memory, address, this::onCallerProgress);
        writer = new ResponseWriter(state, active, unsent, () -> !queued.isEmpty());
        connections.add(this);
    }

    /** Reads pending bytes at once; returns whether the connection was closed, so that its exchange is cancelled. */
    boolean hasDisconnected() {
        return socket.hasDisconnected();
    }

    /** Records raw bytes, which may be a part of a request head. */
    void onBytesRead() {
        lastReadAt = state.nowMillis();
        if (partialHeadSince < 0 && request == null) {
            partialHeadSince = lastReadAt;
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext active, Object message) {
        if (isClosing()) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (mustWait() || !queued.isEmpty()) {
            queue(message);
            return;
        }
        handle(message);
    }

    private void queue(Object message) {
        if (!queued.tryAdd(message)) {
            onNoRoom();
        } else if (queued.isFull()) {
            context.channel().config().setAutoRead(false);
        }
    }

    /** Returns what writes the responses. */
    ResponseWriter writer() {
        return writer;
    }

    private boolean isClosing() {
        return closing || writer.endsConnection();
    }

    /** Returns whether the next part of a request can't be handled yet; a caller has to take its responses first. */
    private boolean mustWait() {
        return exchange != null || waitsForRoom || !context.channel().isWritable();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext active) {
        long partialBytes = HeadSize.ofPartial(decoder.partialBytes());
        partialHead.shrinkTo(partialBytes);
        if (!isClosing() && !partialHead.tryGrowTo(partialBytes)) {
            onNoRoom();
        }
        active.fireChannelReadComplete();
    }

    /** Rejects the request that is read, or drops those behind one that is served: callers see that by the close. */
    private void onNoRoom() {
        if (exchange != null) {
            memory.onRejected(ByteUse.REQUEST, address, "", 0);
            closing = true;
            queued.clear();
        } else if (waitsForRoom) {
            memory.withdraw(this);
            onUploadRejected(memory.smallRetryMillis());
        } else if (request == null) {
            memory.onRejected(ByteUse.REQUEST, address, "", 0);
            refuseUnread(ErrorKind.OVERLOADED);
        } else if (request.problem().isPresent()) {
            refuseUnread(request.problem().get());
        } else {
            request.rejectForMemory(ByteUse.REQUEST, 0, memory.smallRetryMillis());
            rejectUnread();
        }
    }

    private void handle(Object message) {
        try {
            if (message instanceof HttpRequest head) {
                handleHead(head);
            }
            if (message instanceof HttpContent content && request != null) {
                handleContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void handleHead(HttpRequest head) {
        partialHeadSince = -1;
        request = new IncomingRequest(components, head, address);
        writer.onRequest(head);
        switch (request.decide()) {
            case REFUSE_UNREAD -> {
                // Behind it a whole request may wait, which needs a response too.
                if (!request.isRefusedForStop() || queued.isEmpty()) {
                    refuseUnread(request.problem().orElseThrow());
                }
            }
            case WAIT -> waitForTurn(request.declaredBytes());
            case READ -> {
                if (request.rejection().isPresent() && request.expectsContinue()) {
                    // The caller may send the body or not; what follows can't be told from another request.
                    rejectUnread();
                } else if (!request.isRefused()) {
                    continueIfExpected();
                }
            }
            default -> throw new IllegalStateException("unknown decision");
        }
    }

    private void continueIfExpected() {
        if (request.expectsContinue()) {
            writer.goOn();
        }
    }

    /** Reads the large body that follows once the process may hold it. */
    private void waitForTurn(long bytes) {
        waitsForRoom = true;
        context.channel().config().setAutoRead(false);
        RequestPlan wanted = request.planForNow();
        memory.ask(new UploadLine.Upload<>(
                this,
                request.body().largeHolding(),
                bytes,
                wanted.priority(),
                request.arrivedAt(),
                wanted.deadlineAt()));
    }

    /** Reads on: there is room for the whole body. */
    void onUploadGranted() {
        waitsForRoom = false;
        request.body().onGranted(request.declaredBytes(), state.nowMillis());
        lastReadAt = state.nowMillis();
        continueIfExpected();
        handleQueued();
    }

    /** Rejects the request at once: there won't be room for its body in time. */
    void onUploadRejected(long retryAfterMillis) {
        waitsForRoom = false;
        request.rejectForMemory(ByteUse.UPLOAD, request.declaredBytes(), retryAfterMillis);
        rejectUnread();
    }

    private void handleContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            refuseUnread(ErrorKind.MALFORMED_REQUEST);
            return;
        }
        if (request.body() != null && !append(content)) {
            return;
        }
        if (content instanceof LastHttpContent) {
            onRequestComplete();
        }
    }

    /** Appends a part of the body; returns false if the request is refused for it, or waits with it for room. */
    private boolean append(HttpContent content) {
        RequestBody.Appended appended = request.body().append(content.content());
        switch (appended) {
            case WHOLE -> {
                return true;
            }
            case OVER_LIMIT -> refuseUnread(ErrorKind.BODY_TOO_LARGE);
            case NEEDS_TURN -> {
                if (queued.tryReturn(content.retain())) {
                    waitForTurn(request.body().maxBytes());
                } else {
                    onNoRoom();
                }
            }
            default -> onNoRoom();
        }
        return false;
    }

    /** Rejects the complete request or starts its exchange. */
    private void onRequestComplete() {
        if (request.problem().isPresent()) {
            ErrorKind error = request.problem().get();
            request.logDenied(error);
            if (request.isRefusedForStop() && queued.isEmpty()) {
                request.endConnection();
            }
            writer.error(error, request.id(), request.remainingMillis());
            nextRequest();
            return;
        }
        if (request.rejection().isPresent()) {
            replyRejected();
            nextRequest();
            return;
        }
        exchange = request.toExchange(this);
        if (state.isEventLoopLate()) {
            startAfterRead(exchange);
        } else {
            exchange.start();
        }
    }

    /** Tells the caller when to retry a request that was rejected by its head. */
    private void replyRejected() {
        writer.errorWithRetryAfter(
                ErrorKind.OVERLOADED,
                request.id(),
                request.rejection().orElseThrow().retryAfterMillis());
        request.logRejected();
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

    /**
     * Rejects a request before it is read in full and closes the connection; the rest would be parsed as another
     * request.
     */
    private void refuseUnread(ErrorKind error) {
        if (request == null) {
            writer.error(error, "", 0);
        } else {
            request.logDenied(error);
            request.endConnection();
            writer.error(error, request.id(), request.remainingMillis());
        }
        closeWith(error == ErrorKind.DRAINING ? gracefulClose().afterBody() : gracefulClose());
    }

    /** Replies to a request that was rejected by its head, before its body is read, and closes the connection. */
    private void rejectUnread() {
        request.endConnection();
        replyRejected();
        closeWith(gracefulClose().afterBody());
    }

    /** Continues with the next request after an exchange has ended. */
    void onExchangeEnded() {
        exchange = null;
        nextRequest();
    }

    private void nextRequest() {
        // Nothing of a request may be taken for a part of the next one, not even if that is never read whole.
        request = null;
        writer.onRequest(null);
        lastReadAt = state.nowMillis();
        if (isClosing()) {
            closeGracefully();
            return;
        }
        handleQueued();
    }

    private void handleQueued() {
        if (drainingQueue) {
            return;
        }
        drainingQueue = true;
        while (!mustWait() && !isClosing() && !queued.isEmpty()) {
            handle(queued.poll());
        }
        drainingQueue = false;
        if (queued.isEmpty() && !waitsForRoom) {
            context.channel().config().setAutoRead(true);
        }
    }

    /** Drops what was read of requests and closes the connection once everything written was sent. */
    private void closeGracefully() {
        closeWith(gracefulClose());
    }

    private GracefulClose gracefulClose() {
        return new GracefulClose(context, state::nowMillis, () -> lastReadAt);
    }

    private void closeWith(GracefulClose close) {
        closing = true;
        forgetUnserved();
        request = null;
        close.start();
    }

    /** Gives back all that is held for requests that no exchange serves. */
    private void forgetUnserved() {
        queued.clear();
        partialHead.close();
        if (request != null) {
            request.release();
        }
    }

    /** Closes the connection if the caller is too slow or idle; called periodically. */
    void sweep(long nowMillis, boolean closeIdle) {
        socket.update(nowMillis);
        long idleTimeout = state.limits().idleTimeoutMillis();
        if (exchange != null || waitsForRoom) {
            return;
        }
        if (isClosing() || request == null && (partialHeadSince < 0 ? owes() : !queued.isEmpty())) {
            if (socket.isStalled(nowMillis, idleTimeout)) {
                cut("stalled");
            }
        } else if (request != null) {
            if (request.isOverdue(lastReadAt)) {
                refusePartial(ErrorKind.REQUEST_TIMEOUT);
            }
        } else if (partialHeadSince >= 0) {
            if (nowMillis - partialHeadSince > state.limits().headerTimeoutMillis()) {
                refuseUnread(ErrorKind.REQUEST_TIMEOUT);
            }
        } else if (closeIdle || nowMillis - lastReadAt > idleTimeout) {
            closeIdle();
        }
    }

    /** Closes the connection unless a request waits unread in its socket. */
    private void closeIdle() {
        if (!hasDisconnected() && !owes()) {
            closing = true;
            context.close();
        }
    }

    /** Answers a request that isn't read in full and won't be; the error is that of one which isn't refused yet. */
    private void refusePartial(ErrorKind error) {
        if (request.rejection().isPresent()) {
            rejectUnread();
        } else {
            refuseUnread(request.problem().orElse(error));
        }
    }

    /**
     * Returns whether the caller is owed anything: the response to a request that is read or served, bytes of a
     * response, or the time to receive them before the connection is closed.
     */
    boolean owes() {
        return exchange != null
                || request != null
                || partialHeadSince >= 0
                || !queued.isEmpty()
                || socket.unsentBytes() > 0
                || isClosing();
    }

    /**
     * Gives a caller that waits a final response since the process ends soon; a response that has begun goes on.
     * Returns whether it did.
     */
    boolean onShutdown() {
        if (exchange != null) {
            return exchange.onShutdown();
        }
        if (isClosing() || request == null && partialHeadSince < 0) {
            return false;
        }
        if (waitsForRoom) {
            memory.withdraw(this);
            waitsForRoom = false;
        }
        if (request == null) {
            refuseUnread(ErrorKind.DRAINING);
        } else {
            refusePartial(ErrorKind.DRAINING);
        }
        return true;
    }

    /** Ends a response that isn't sent in full so that it doesn't look complete; returns whether there was one. */
    boolean cut(String cause) {
        long unsent = socket.unsentBytes();
        if (exchange == null && unsent == 0) {
            return false;
        }
        new StopLog(state).connectionCut(cause, unsent, !queued.isEmpty());
        if (exchange != null) {
            return exchange.cut();
        }
        closing = true;
        writer.abort();
        return true;
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext active) {
        onCallerProgress();
    }

    private void onCallerProgress() {
        if (exchange != null) {
            exchange.onCallerProgress();
        } else if (!isClosing() && context.channel().isActive()) {
            handleQueued();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext active) {
        connections.remove(this);
        closing = true;
        if (waitsForRoom) {
            waitsForRoom = false;
            memory.withdraw(this);
        }
        if (exchange != null) {
            exchange.onCallerDisconnected();
        }
        forgetUnserved();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext active, Throwable cause) {
        // Reset by the caller: channelInactive follows and cancels the exchange.
        active.close();
    }
}
