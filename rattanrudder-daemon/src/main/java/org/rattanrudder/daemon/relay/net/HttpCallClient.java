package org.rattanrudder.daemon.relay.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.rattanrudder.core.memory.ByteBudget;
import org.rattanrudder.core.memory.ByteUse;
import org.rattanrudder.core.memory.Holding;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.daemon.relay.port.PlatformCall;

/**
 * An HTTP client for one address that makes one call at a time on a persistent connection.
 *
 * <p>A connection may become permanently unresponsive without a reset while new connections work. A call that times out
 * therefore closes its connection, and the next call opens a new one.
 *
 * <p>What has arrived of a response counts in the budget of held bytes until its call has ended; a call whose response
 * finds no room fails with the reason {@code no_room}.
 *
 * <p>A server may send a response twice, and responses to calls bear no ID. So a call other than GET, whose response
 * may be the only proof that something was done, gets a connection of its own; a connection is reused only once all
 * that arrived with a response was read and was part of it; a response on a reused connection counts only if nothing
 * arrives with it; and a head that two responses may have made is no response ({@link StrictResponseDecoder}). A whole
 * second response to a GET that arrives alone, after the next GET was sent, isn't told from the response to that one.
 *
 * <p>A response may go on without end, in its head, between interim responses, in its body or behind it. The timeout
 * bounds how long a call reads it, and a limit how much; bytes that arrive while no call is in flight close the
 * connection.
 */
public final class HttpCallClient implements AutoCloseable {
    /** The reason of a call that was given up while its response was arriving. */
    public static final String UNFINISHED = "unfinished";

    /** Limit of a response to a call that reads no list: a report, an order or an append. */
    private static final int MAX_SHORT_RESPONSE_BYTES = 256 * 1_024;

    /** Limit of a response with records or a list, of which platforms send a megabyte or two at a time. */
    private static final int MAX_LIST_RESPONSE_BYTES = 8 * 1_024 * 1_024;

    /** How many times as long a response may be on the wire as its body: chunks have heads of their own. */
    private static final int MAX_RAW_RATIO = 2;

    /** How many times its size a response takes: as it arrives, and as it is handed over. */
    private static final int HELD_RATIO = 2;

    private final Bootstrap bootstrap;
    private final Holding held;
    private final Supplier<Address> address;
    private final int maxResponseBytes;
    private final CallsInFlight calls;
    private long receivedBytes;
    private LongSupplier maxReceivedBytes = () -> Long.MAX_VALUE;
    private Address connectedTo;
    private Channel channel;
    private Consumer<CallResult> pendingCallback;
    private BooleanSupplier mayWrite;
    private boolean onOwnConnection;
    private InactivityTimer timeout;

    /**
     * Creates a client without a connection, for calls with short responses.
     *
     * @param budget counts what has arrived of responses
     * @param address supplies the address to call; a changed address takes effect with the next call
     */
    public HttpCallClient(Bootstrap bootstrap, ByteBudget budget, Supplier<Address> address) {
        this(bootstrap, budget, address, new CallsInFlight());
    }

    /**
     * Creates a client without a connection, for calls with short responses.
     *
     * @param budget counts what has arrived of responses
     * @param address supplies the address to call; a changed address takes effect with the next call
     * @param calls counts the calls of this client and others
     */
    public HttpCallClient(Bootstrap bootstrap, ByteBudget budget, Supplier<Address> address, CallsInFlight calls) {
        this(bootstrap, budget, address, calls, MAX_SHORT_RESPONSE_BYTES);
    }

    /** Returns a client without a connection, for calls whose responses are lists. */
    public static HttpCallClient forLists(Bootstrap bootstrap, ByteBudget budget, Supplier<Address> address) {
        return forLists(bootstrap, budget, address, new CallsInFlight());
    }

    /** Returns such a client whose calls are counted with those of others. */
    public static HttpCallClient forLists(
            Bootstrap bootstrap, ByteBudget budget, Supplier<Address> address, CallsInFlight calls) {
        return new HttpCallClient(bootstrap, budget, address, calls, MAX_LIST_RESPONSE_BYTES);
    }

    private HttpCallClient(
            Bootstrap bootstrap,
            ByteBudget budget,
            Supplier<Address> address,
            CallsInFlight calls,
            int maxResponseBytes) {
        held = budget.holding(ByteUse.OWN_CALL, address.get().toString());
        this.address = address;
        this.calls = calls;
        this.maxResponseBytes = maxResponseBytes;
        this.bootstrap = bootstrap.clone().handler(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel opened) {
                initializePipeline(opened.pipeline());
            }
        });
    }

    private void initializePipeline(ChannelPipeline pipeline) {
        Channel opened = pipeline.channel();
        StrictResponseDecoder decoder = new StrictResponseDecoder();
        pipeline.addLast(
                new RawByteCounter(count -> onBytesRead(opened, count)),
                decoder,
                new HttpRequestEncoder(),
                new ClosedResponseGuard(),
                new HttpObjectAggregator(maxResponseBytes),
                new ResponseHandler(decoder));
    }

    /** Records raw bytes before they are decoded; returns whether to decode them. */
    private boolean onBytesRead(Channel from, int count) {
        if (from != channel || pendingCallback == null) {
            from.close();
            return false;
        }
        receivedBytes += count;
        if (receivedBytes > (long) MAX_RAW_RATIO * maxResponseBytes) {
            complete(new CallResult.Unanswered("too_long"), true);
            return false;
        }
        if (receivedBytes > maxReceivedBytes.getAsLong()) {
            complete(new CallResult.Unanswered(UNFINISHED), true);
            return false;
        }
        if (!held.tryGrowTo(HELD_RATIO * receivedBytes)) {
            complete(new CallResult.Unanswered("no_room"), true);
            return false;
        }
        return true;
    }

    /**
     * Ends calls with {@link #UNFINISHED} once more of their responses has arrived.
     *
     * @param maxBytes supplies the maximum, heads included
     * @return this
     */
    public HttpCallClient limitReceived(LongSupplier maxBytes) {
        maxReceivedBytes = maxBytes;
        return this;
    }

    /** Returns whether a call is in flight. */
    public boolean isBusy() {
        return pendingCallback != null;
    }

    /** Returns how many bytes have arrived of the response to the call in flight, or to the last one. */
    long receivedBytes() {
        return receivedBytes;
    }

    /**
     * Makes a call. Only one may be in flight.
     *
     * @param timeoutMillis time after which the call fails with the reason {@code timeout}, or {@link #UNFINISHED}
     * @param callback called once with the result, on the event loop; not called after {@link #close}
     */
    public void call(PlatformCall call, long timeoutMillis, Consumer<CallResult> callback) {
        callIf(() -> true, call, timeoutMillis, callback);
    }

    /**
     * Makes a call that must not be sent any more once a condition has ended. Only one may be in flight.
     *
     * @param condition asked when the call is about to be written, once its connection has opened;
     *     if it doesn't hold, nothing is written and the call ends with {@link CallResult.Unanswered#NOT_SENT}
     * @param timeoutMillis time after which the call fails with the reason {@code timeout}
     * @param callback called once with the result, on the event loop; not called after {@link #close}
     */
    public void callIf(
            BooleanSupplier condition, PlatformCall call, long timeoutMillis, Consumer<CallResult> callback) {
        mayWrite = condition;
        pendingCallback = callback;
        calls.onCall();
        receivedBytes = 0;
        EventLoop loop = (EventLoop) bootstrap.config().group().next();
        timeout = InactivityTimer.start(loop, () -> complete(timedOut(), true), timeoutMillis);
        Address current = address.get();
        if (!current.equals(connectedTo)) {
            closeConnection();
            connectedTo = current;
        }
        onOwnConnection = !call.method().equals(HttpMethod.GET);
        if (onOwnConnection) {
            closeConnection();
        }
        if (channel != null && channel.isActive()) {
            write(call);
            return;
        }
        bootstrap
                .connect(new InetSocketAddress(current.host(), current.port()))
                .addListener((io.netty.channel.ChannelFuture opened) -> {
                    if (pendingCallback != callback) {
                        // The call has timed out or was cancelled; another one may be in flight.
                        opened.channel().close();
                    } else if (!opened.isSuccess()) {
                        complete(new CallResult.Unanswered("unreachable"), true);
                    } else {
                        channel = opened.channel();
                        write(call);
                    }
                });
    }

    private CallResult timedOut() {
        return new CallResult.Unanswered(receivedBytes > 0 ? UNFINISHED : "timeout");
    }

    private void write(PlatformCall call) {
        if (!mayWrite.getAsBoolean()) {
            complete(CallResult.Unanswered.NOT_SENT, false);
            return;
        }
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, call.method(), call.requestUri(), Unpooled.wrappedBuffer(call.body()));
        request.headers().set(call.headers());
        request.headers().set(HttpHeaderNames.HOST, connectedTo.toString());
        if (call.body().length > 0) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            HttpUtil.setContentLength(request, call.body().length);
        }
        channel.writeAndFlush(request);
    }

    private void complete(CallResult answer, boolean dropConnection) {
        Consumer<CallResult> callback = pendingCallback;
        if (callback == null) {
            return;
        }
        pendingCallback = null;
        calls.onEnd();
        timeout.cancel();
        if (dropConnection) {
            closeConnection();
        }
        callback.accept(answer);
        held.shrinkTo(0);
    }

    private void closeConnection() {
        if (channel != null) {
            channel.close();
            channel = null;
        }
    }

    /** Cancels the call in flight without calling its callback, and closes the connection. */
    @Override
    public void close() {
        if (pendingCallback != null) {
            calls.onEnd();
        }
        pendingCallback = null;
        held.shrinkTo(0);
        if (timeout != null) {
            timeout.cancel();
        }
        closeConnection();
    }

    /** Handles the responses on a connection. */
    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final StrictResponseDecoder decoder;

        /** The response to the call in flight, until all that arrived with it was read; null before. */
        private CallResult.Answered answered;

        private boolean keepAlive;
        private boolean hasExtraMessage;
        private boolean reused;

        ResponseHandler(StrictResponseDecoder decoder) {
            this.decoder = decoder;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (context.channel() != channel || pendingCallback == null) {
                context.close();
                return;
            }
            if (answered != null) {
                hasExtraMessage = true;
                return;
            }
            if (!response.decoderResult().isSuccess()) {
                complete(new CallResult.Unanswered("malformed"), true);
                return;
            }
            if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                return;
            }
            HttpResponse head =
                    new DefaultHttpResponse(response.protocolVersion(), response.status(), response.headers());
            answered = new CallResult.Answered(head, ByteBufUtil.getBytes(response.content()));
            keepAlive = HttpUtil.isKeepAlive(response);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (context.channel() == channel) {
                completeAnswered();
            }
            context.fireChannelReadComplete();
        }

        private void completeAnswered() {
            if (answered == null) {
                return;
            }
            CallResult.Answered whole = answered;
            answered = null;
            boolean extraBytes = hasExtraMessage || decoder.isWithinMessage();
            if (extraBytes && reused) {
                // A response to an earlier call may be in front of the one to this call.
                complete(new CallResult.Unanswered("ambiguous"), true);
                return;
            }
            reused = true;
            complete(whole, !keepAlive || extraBytes || onOwnConnection);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (context.channel() == channel) {
                completeAnswered();
            }
            if (context.channel() == channel) {
                channel = null;
                complete(new CallResult.Unanswered("closed"), false);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // Before the close: to the decoder, that is the end of a body that only its connection ends.
            if (context.channel() == channel) {
                completeAnswered();
            }
            if (context.channel() == channel) {
                complete(new CallResult.Unanswered(cause instanceof IOException ? "reset" : "malformed"), true);
            }
            context.close();
        }
    }
}
