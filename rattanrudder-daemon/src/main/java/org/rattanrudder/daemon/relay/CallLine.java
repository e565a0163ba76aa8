package org.rattanrudder.daemon.relay;

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
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.daemon.relay.port.PlatformCall;

/**
 * Calls an address, one call at a time, on a connection that is kept.
 *
 * <p>A connection may fall silent for good without a reset, while new ones work. A call that isn't answered in time
 * therefore takes its connection with it, and the next call opens a new one.
 */
final class CallLine implements AutoCloseable {
    private static final int LARGEST_ANSWER = 64 * 1024 * 1024;

    private final Bootstrap bootstrap;
    private final Supplier<Address> address;
    private Address connectedTo;
    private Channel channel;
    private Consumer<CallAnswer> waiting;
    private InactivityTimer timeout;

    /**
     * Makes a line without a connection.
     *
     * @param address whom to call; another address than before takes effect with the next call
     */
    CallLine(Bootstrap bootstrap, Supplier<Address> address) {
        this.address = address;
        this.bootstrap = bootstrap.clone().handler(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel opened) {
                initialise(opened.pipeline());
            }
        });
    }

    private void initialise(ChannelPipeline pipeline) {
        pipeline.addLast(new HttpClientCodec(), new HttpObjectAggregator(LARGEST_ANSWER), new Answers());
    }

    /** Returns whether a call is under way. */
    boolean isBusy() {
        return waiting != null;
    }

    /**
     * Makes a call. Only one may be under way.
     *
     * @param timeoutMillis from now until the call is given up
     * @param then called once, on the event loop
     */
    void call(PlatformCall call, long timeoutMillis, Consumer<CallAnswer> then) {
        waiting = then;
        EventLoop loop = (EventLoop) bootstrap.config().group().next();
        timeout = InactivityTimer.start(loop, () -> end(new CallAnswer.Unanswered("timeout"), true), timeoutMillis);
        Address current = address.get();
        if (!current.equals(connectedTo)) {
            drop();
            connectedTo = current;
        }
        if (channel != null && channel.isActive()) {
            write(call);
            return;
        }
        bootstrap
                .connect(new InetSocketAddress(current.host(), current.port()))
                .addListener((io.netty.channel.ChannelFuture opened) -> {
                    if (waiting != then) {
                        // The call was given up meanwhile; another one may be under way.
                        opened.channel().close();
                    } else if (!opened.isSuccess()) {
                        end(new CallAnswer.Unanswered("unreachable"), true);
                    } else {
                        channel = opened.channel();
                        write(call);
                    }
                });
    }

    private void write(PlatformCall call) {
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

    private void end(CallAnswer answer, boolean dropConnection) {
        Consumer<CallAnswer> then = waiting;
        if (then == null) {
            return;
        }
        waiting = null;
        timeout.cancel();
        if (dropConnection) {
            drop();
        }
        then.accept(answer);
    }

    private void drop() {
        if (channel != null) {
            channel.close();
            channel = null;
        }
    }

    /** Gives up the call under way, whose caller isn't told, and closes the connection. */
    @Override
    public void close() {
        waiting = null;
        if (timeout != null) {
            timeout.cancel();
        }
        drop();
    }

    /** Takes answers off a connection. */
    private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (context.channel() != channel || waiting == null) {
                context.close();
                return;
            }
            byte[] body = ByteBufUtil.getBytes(response.content());
            boolean whole = response.decoderResult().isSuccess();
            boolean keep = whole && HttpUtil.isKeepAlive(response);
            end(
                    whole
                            ? new CallAnswer.Answered(response.status().code(), body)
                            : new CallAnswer.Unanswered("malformed"),
                    !keep);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (context.channel() == channel) {
                channel = null;
                end(new CallAnswer.Unanswered("closed"), false);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // The reason reaches the caller as "closed"; what matters is logged there.
            context.close();
        }
    }
}
