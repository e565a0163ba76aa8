package org.rattanrudder.daemon.relay.targets;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.rattanrudder.core.gateway.ResponseEnd;
import org.rattanrudder.daemon.relay.net.StrictResponseDecoder;
import org.rattanrudder.daemon.relay.port.RequestDialect;
import org.rattanrudder.daemon.relay.port.ResponseMetadata;

/**
 * A connection to a target that carries one request at a time.
 *
 * <p>Nothing that it reads is trusted. A second response to an earlier request may arrive where the next response is
 * due: a response with the ID of another request is skipped. An ID tells requests apart and not attempts, so no ID is
 * sent twice on one connection ({@link #hasSent}). Bytes that arrive while no request is in flight close the
 * connection. Where a body declares no end, an orderly close of the connection ends it, and a reset breaks it off;
 * {@link org.rattanrudder.daemon.relay.net.ClosedResponseGuard} tells the two apart where the target didn't take the
 * request. A response may arrive before its request was sent in full: the connection isn't reused then, since the
 * target might read the next request as the rest of this one.
 *
 * <p>Bytes that are no part of a response that is passed on may go on without end: a head, interim responses, a chunk's
 * size, trailers, a response that is discarded. So only {@link #MAX_UNUSED_BYTES} of them are taken, and a discarded
 * response is read on for {@link #DISCARD_MILLIS}; then the connection is closed.
 */
public final class TargetConnection extends ChannelInboundHandlerAdapter {
    /** Limit of bytes in a row that are no part of a response that is passed on; a late response may be among them. */
    private static final long MAX_UNUSED_BYTES = 256 * 1_024;

    /** Limit of interim responses, and of responses to other requests, that arrive for one request. */
    private static final int MAX_UNUSED_RESPONSES = 64;

    /** How long the rest of a discarded response is read: a new connection takes less. */
    private static final long DISCARD_MILLIS = 500;

    /** A connection whose read brings more messages waits for its turn before the next read. */
    private static final int MAX_MESSAGES_IN_TURN = 256;

    private final Channel channel;
    private final RequestDialect dialect;
    private final SentIds sentIds = new SentIds();
    private final StrictResponseDecoder decoder;
    private final Consumer<TargetConnection> onIdle;
    private final ReadTurns turns;
    private final GatheredContent gathered = new GatheredContent();
    private ResponseSink sink;
    private String requestId = "";
    private boolean headRequest;
    private boolean requestWritten;
    private boolean inResponse;
    private boolean skipping;
    private boolean interim;
    private boolean keepAlive;
    private ResponseEnd end;
    private boolean complete;
    private long keepAliveMillis = -1;
    private long idleSince;
    private long unusedBytes;
    private int unusedResponses;
    private boolean discardEnds;
    private boolean wanted = true;
    private boolean awaitsTurn;
    private int messagesInTurn;

    TargetConnection(Channel channel, RequestDialect dialect, ReadTurns turns, Consumer<TargetConnection> whenFree) {
        this.channel = channel;
        this.dialect = dialect;
        this.turns = turns;
        this.onIdle = whenFree;
        decoder = new StrictResponseDecoder(dialect.singleResponseHeaders(), this::isHeadRequest);
    }

    /** Returns the decoder of the responses on this connection. */
    StrictResponseDecoder decoder() {
        return decoder;
    }

    boolean isActive() {
        return channel.isActive();
    }

    /** Returns the keep-alive timeout that the target announced, in ms; -1 if it announced none. */
    long keepAliveMillis() {
        return keepAliveMillis;
    }

    long idleSince() {
        return idleSince;
    }

    void markIdle(long nowMillis) {
        idleSince = nowMillis;
    }

    private boolean isHeadRequest() {
        return headRequest;
    }

    /** Returns whether a request with an ID may have been sent on this connection. */
    boolean hasSent(String id) {
        return sentIds.mayContain(id);
    }

    /** Sends a request and takes ownership of the body. */
    public void send(HttpRequest request, ByteBuf body, String id, ResponseSink answers) {
        sink = answers;
        requestId = id;
        sentIds.add(id);
        headRequest = request.method().equals(HttpMethod.HEAD);
        requestWritten = false;
        inResponse = false;
        skipping = false;
        keepAlive = false;
        complete = false;
        unusedBytes = 0;
        unusedResponses = 0;
        discardEnds = false;
        DefaultHttpRequest head =
                new DefaultHttpRequest(request.protocolVersion(), request.method(), request.uri(), request.headers());
        channel.write(head);
        ChannelFuture written = channel.writeAndFlush(new DefaultLastHttpContent(body));
        written.addListener(done -> {
            requestWritten = done.isSuccess();
            if (!done.isSuccess()) {
                // Not within this method: its caller hasn't recorded the attempt yet.
                channel.eventLoop().execute(() -> fail("write failed"));
            }
        });
    }

    /** Closes the connection; the target drops a request whose connection is closed. */
    public void abort() {
        sink = null;
        gathered.clear();
        channel.close();
    }

    /** Discards the rest of the response but reads it, so that the connection can be reused. */
    public void detach() {
        gathered.clear();
        sink = DiscardingSink.INSTANCE;
    }

    /** Pauses reading while the caller is slow, or resumes it. */
    public void setReading(boolean on) {
        wanted = on;
        channel.config().setAutoRead(wanted && !awaitsTurn);
    }

    /** Resumes reading after a read that brought very many messages. */
    void onReadTurn() {
        awaitsTurn = false;
        setReading(wanted);
    }

    private void awaitTurn() {
        awaitsTurn = true;
        setReading(wanted);
        turns.await(this);
    }

    /** Records raw bytes before they are decoded; returns whether to decode them. */
    boolean onBytesRead(int count) {
        unusedBytes += count;
        if (sink == null) {
            channel.close();
            return false;
        }
        if (unusedBytes > MAX_UNUSED_BYTES) {
            fail("too many bytes that are no response");
            return false;
        }
        return true;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        messagesInTurn++;
        if (messagesInTurn > MAX_MESSAGES_IN_TURN && !awaitsTurn) {
            awaitTurn();
        }
        try {
            if (sink == null || complete) {
                channel.close();
                return;
            }
            HttpObject object = (HttpObject) message;
            if (object.decoderResult().isFailure()) {
                fail("malformed response");
                return;
            }
            if (object instanceof HttpResponse response) {
                head(response);
            }
            if (object instanceof HttpContent content) {
                content(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void head(HttpResponse response) {
        unusedResponses++;
        if (unusedResponses > MAX_UNUSED_RESPONSES) {
            fail("too many responses that aren't passed on");
            return;
        }
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            interim = true;
            return;
        }
        ResponseMetadata metadata = dialect.read(response);
        boolean other = metadata.requestId().isPresent()
                ? !requestId.isEmpty() && !metadata.requestId().get().equals(requestId)
                : !metadata.notRun();
        if (other) {
            // Without an ID it may be a response to any request; only a response for a request that wasn't run may lack
            // it.
            skipping = true;
            if (metadata.requestId().isEmpty()) {
                fail("response without a request ID");
            }
            return;
        }
        inResponse = true;
        keepAlive = HttpUtil.isKeepAlive(response);
        end = ResponseFraming.endOf(response, headRequest);
        metadata.keepAliveMillis().ifPresent(millis -> keepAliveMillis = millis);
        sink.onHead(response, metadata);
    }

    private void content(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (interim || skipping) {
            interim = interim && !last;
            skipping = skipping && !last;
            return;
        }
        if (sink == null || !inResponse) {
            return;
        }
        if (content.content().isReadable()) {
            unusedBytes = sink == DiscardingSink.INSTANCE ? unusedBytes : 0;
            pass(content.content());
        }
        if (last) {
            passGathered();
        }
        if (last && sink != null) {
            finish();
        }
    }

    private void pass(ByteBuf chunk) {
        if (gathered.tryAdd(chunk)) {
            return;
        }
        passGathered();
        if (sink != null) {
            sink.onContent(chunk);
        }
    }

    private void passGathered() {
        ByteBuf chunk = gathered.take();
        if (chunk == null) {
            return;
        }
        try {
            if (sink != null) {
                sink.onContent(chunk);
            }
        } finally {
            chunk.release();
        }
    }

    private void finish() {
        ResponseSink done = sink;
        inResponse = false;
        // Reused only once all bytes that arrived with the response were read: extra ones close the connection.
        complete = true;
        done.onEnd(end);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        messagesInTurn = 0;
        passGathered();
        if (sink == DiscardingSink.INSTANCE && !complete && !discardEnds) {
            discardEnds = true;
            channel.eventLoop().schedule(this::endDiscard, DISCARD_MILLIS, TimeUnit.MILLISECONDS);
        }
        if (!complete || !channel.isActive()) {
            return;
        }
        boolean reusable =
                keepAlive && requestWritten && !sentIds.isFull() && !(end instanceof ResponseEnd.ConnectionClosed);
        if (!reusable || decoder.isWithinMessage()) {
            channel.close();
            return;
        }
        complete = false;
        sink = null;
        onIdle.accept(this);
    }

    private void endDiscard() {
        if (discardEnds && sink == DiscardingSink.INSTANCE) {
            channel.close();
        }
    }

    private void fail(String reason) {
        passGathered();
        ResponseSink failed = sink;
        sink = null;
        channel.close();
        if (failed != null && !complete) {
            failed.onEnd(new ResponseEnd.BrokenOff(reason));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail("closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // Before channelInactive, which to the decoder is the end of a body that only its connection ends.
        fail("reset");
    }

    /** Discards a response that is no longer needed. */
    private enum DiscardingSink implements ResponseSink {
        INSTANCE;

        @Override
        public void onHead(HttpResponse response, ResponseMetadata metadata) {}

        @Override
        public void onContent(ByteBuf chunk) {}

        @Override
        public void onEnd(ResponseEnd end) {}
    }
}
