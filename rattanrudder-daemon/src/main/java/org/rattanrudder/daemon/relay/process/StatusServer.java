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
import java.util.function.Function;

/** Serves HTTP pages about the process itself: readiness and metrics. */
public final class StatusServer extends ChannelInitializer<Channel> {
    private static final int MAX_REQUEST_BYTES = 16 * 1024;

    private final Function<String, Page> pages;

    /**
     * A page.
     *
     * @param status its HTTP status
     * @param body its content
     */
    public record Page(HttpResponseStatus status, byte[] body) {}

    /** Creates a server of the pages that the function returns by path. */
    public StatusServer(Function<String, Page> pages) {
        this.pages = pages;
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
            Page page = pages.apply(request.uri());
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, page.status(), Unpooled.wrappedBuffer(page.body()));
            HttpUtil.setContentLength(response, page.body().length);
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
