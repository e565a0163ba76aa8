package org.rattanrudder.daemon.relay.process;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;

/** Serves an HTTP page about the process itself, at any path: its readiness or its metrics. */
public final class StatusServer extends ChannelInitializer<Channel> {
    private static final int MAX_REQUEST_BYTES = 16 * 1024;

    private final Supplier<Page> page;

    /**
     * A page.
     *
     * @param status its HTTP status
     * @param body its content
     */
    private record Page(HttpResponseStatus status, byte[] body) {}

    private StatusServer(Supplier<Page> page) {
        this.page = page;
    }

    /** Creates a server whose page says, in its status too, whether the relay takes callers' connections. */
    public static StatusServer readiness(RelayState state) {
        return new StatusServer(() -> {
            boolean ready = state.isReady();
            byte[] text = (ready ? "ready\n" : "not ready\n").getBytes(StandardCharsets.UTF_8);
            return new Page(ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, text);
        });
    }

    /** Creates a server whose page has the metrics, in the Prometheus text format. */
    public static StatusServer metrics(RelayMetrics metrics) {
        return new StatusServer(() -> new Page(HttpResponseStatus.OK, metrics.text()));
    }

    @Override
    protected void initChannel(Channel channel) {
        channel.pipeline()
                .addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_REQUEST_BYTES), new PageHandler());
    }

    /** Handles the requests of a connection. */
    private final class PageHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            Page current = page.get();
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, current.status(), Unpooled.wrappedBuffer(current.body()));
            HttpUtil.setContentLength(response, current.body().length);
            boolean keep = HttpUtil.isKeepAlive(request);
            HttpUtil.setKeepAlive(response, keep);
            var written = context.writeAndFlush(response);
            if (!keep) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // The client has disconnected or doesn't speak HTTP, so no answer is expected.
            context.close();
        }
    }
}
