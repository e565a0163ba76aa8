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
 * Tells a response that was cut from one that ends with its connection, where the server didn't take the request.
 *
 * <p>Such a response is broken off if its connection ends before the request was written in full. A request that was
 * handed to the operating system may still never be read: what of it isn't read when the server closes the connection,
 * or arrives later, is answered by a reset. So after a long request, the end of such a response is passed on only if no
 * reset has followed within {@link #RESET_WAIT_MILLIS}. A response that was broken off fails with an
 * {@link IOException} in place of its last content. All other responses pass at once.
 */
public final class ClosedResponseGuard extends ChannelDuplexHandler {
    /** A request without a longer body fits into the buffer in which the server's system receives it. */
    private static final int MAX_SHORT_BODY_BYTES = 64 * 1_024;

    /** Several round trips: the reset arrives one after the server has closed the connection. */
    private static final long RESET_WAIT_MILLIS = 250;

    private static final long RESET_CHECK_MILLIS = 10;

    private boolean headRequest;
    private boolean longBody;
    private boolean requestWritten;
    private boolean delimitedByConnection;
    private boolean awaitsReset;

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof HttpRequest request) {
            headRequest = request.method().equals(HttpMethod.HEAD);
        }
        if (message instanceof LastHttpContent last) {
            longBody = last.content().readableBytes() > MAX_SHORT_BODY_BYTES;
            requestWritten = false;
            promise.addListener(done -> requestWritten = done.isSuccess());
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
            awaitReset(context, message, RESET_WAIT_MILLIS);
            return;
        }
        context.fireChannelRead(message);
    }

    private boolean mayBeResetAfterEnd() {
        return longBody && delimitedByConnection;
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
