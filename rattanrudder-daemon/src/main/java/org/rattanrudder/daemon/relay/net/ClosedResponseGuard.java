package org.rattanrudder.daemon.relay.net;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.rattanrudder.daemon.http.ResponseBodies;

/**
 * Tells a response that was cut from one that ends with its connection, where the server may not have read the request.
 *
 * <p>Such a response is broken off if its connection ends before the request was written in full. A request that was
 * handed to the operating system may still be on its way, and what of it the server hasn't read when it closes the
 * connection is answered by a reset, which follows the end. No size of a body and no answer that is still arriving
 * shows that it was read. So behind a request with a body, the end of such a response is passed on only if no reset has
 * followed for {@link #RESET_WAIT_MILLIS}, counted from when the body has arrived on a link of
 * {@link #MIN_LINK_BYTES_PER_MILLI}. A response that was broken off fails with an {@link IOException} in place of its
 * last content. All other responses pass at once: those that declare their end, and those to requests without a body.
 */
public final class ClosedResponseGuard extends ChannelDuplexHandler {
    /** Several round trips: the reset arrives one after the server has closed the connection. */
    private static final long RESET_WAIT_MILLIS = 250;

    /** The slowest link on which a reset is waited for to its end: 5 Mbit a second. */
    private static final long MIN_LINK_BYTES_PER_MILLI = 625;

    /**
     * How much of a request may still be on its way once it was handed over: what the buffers of both systems take, see
     * {@link RelayChannels}, and as much again at a proxy between them.
     */
    private static final long MAX_IN_FLIGHT_BYTES = 4 * RelayChannels.SEND_BUFFER_BYTES;

    private static final long RESET_CHECK_MILLIS = 10;

    private boolean headRequest;
    private long bodyBytes;
    private long writtenNanos;
    private boolean requestWritten;
    private boolean delimitedByConnection;
    private boolean awaitsReset;

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof HttpRequest request) {
            headRequest = request.method().equals(HttpMethod.HEAD);
        }
        if (message instanceof LastHttpContent last) {
            bodyBytes = last.content().readableBytes();
            requestWritten = false;
            promise.addListener(done -> {
                requestWritten = done.isSuccess();
                writtenNanos = context.executor().ticker().nanoTime();
            });
        }
        context.write(message, promise);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpResponse head) {
            delimitedByConnection = ResponseBodies.isDelimitedByConnection(head, headRequest);
            // A channel that is closed when its input ends can't tell of a reset that follows.
            context.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, mayBeResetAfterEnd());
        }
        boolean ends = message instanceof LastHttpContent content
                && content.decoderResult().isSuccess()
                && delimitedByConnection;
        if (ends && !requestWritten) {
            breakOff(context, message, "closed before the request was written");
            return;
        }
        if (ends && mayBeResetAfterEnd()) {
            awaitsReset = true;
            awaitReset(context, message, RESET_WAIT_MILLIS + arrivalMillis(context));
            return;
        }
        context.fireChannelRead(message);
    }

    private boolean mayBeResetAfterEnd() {
        return bodyBytes > 0 && delimitedByConnection;
    }

    /** Returns how much longer the request may be on its way, in ms. */
    private long arrivalMillis(ChannelHandlerContext context) {
        long sinceWritten =
                TimeUnit.NANOSECONDS.toMillis(context.executor().ticker().nanoTime() - writtenNanos);
        return Math.max(0, Math.min(bodyBytes, MAX_IN_FLIGHT_BYTES) / MIN_LINK_BYTES_PER_MILLI - sinceWritten);
    }

    private static void breakOff(ChannelHandlerContext context, Object last, String reason) {
        ReferenceCountUtil.release(last);
        context.fireExceptionCaught(new IOException(reason));
        context.close();
    }

    private void awaitReset(ChannelHandlerContext context, Object last, long leftMillis) {
        if (isReset(context)) {
            breakOff(context, last, "reset after the end");
            return;
        }
        if (leftMillis <= 0) {
            context.fireChannelRead(last);
            context.fireChannelReadComplete();
            context.close();
            return;
        }
        context.executor()
                .schedule(
                        () -> awaitReset(context, last, leftMillis - RESET_CHECK_MILLIS),
                        RESET_CHECK_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private static boolean isReset(ChannelHandlerContext context) {
        return !context.channel().isActive()
                || context.channel() instanceof OutboundChannel outbound && outbound.isReset();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent && !awaitsReset) {
            context.close();
        }
        context.fireUserEventTriggered(event);
    }
}
