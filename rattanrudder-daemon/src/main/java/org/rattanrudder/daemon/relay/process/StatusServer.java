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
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.rattanrudder.daemon.relay.net.RawByteCounter;

/** Serves an HTTP page about the process itself, at any path: its readiness or its metrics. */
public final class StatusServer extends ChannelInitializer<Channel> {
    private static final int MAX_REQUEST_BYTES = 16 * 1024;

    /** How long a request may take to arrive: clients are near, and send a few lines. */
    private static final long REQUEST_MILLIS = 2_000;

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
        PageHandler pages = new PageHandler(channel);
        channel.pipeline()
                .addLast(
                        new RawByteCounter(pages::onBytesRead),
                        new HttpServerCodec(),
                        new HttpObjectAggregator(MAX_REQUEST_BYTES),
                        pages);
    }

    /** Handles the requests of a connection. */
    private final class PageHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Channel channel;
        private int partialBytes;
        private Future<?> partialEnd;

        PageHandler(Channel channel) {
            this.channel = channel;
        }

        /** Records raw bytes before they are decoded; returns whether to decode them. */
        boolean onBytesRead(int count) {
            partialBytes += count;
            if (partialBytes > MAX_REQUEST_BYTES) {
                channel.close();
                return false;
            }
            if (partialEnd == null) {
                partialEnd = channel.eventLoop().schedule(() -> channel.close(), REQUEST_MILLIS, TimeUnit.MILLISECONDS);
            }
            return true;
        }

        private void onRequestEnded() {
            partialBytes = 0;
            if (partialEnd != null) {
                partialEnd.cancel(false);
                partialEnd = null;
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            onRequestEnded();
            if (request.decoderResult().isFailure()) {
                context.close();
                return;
            }
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
        public void channelInactive(ChannelHandlerContext context) {
            onRequestEnded();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // The client has disconnected or doesn't speak HTTP, so no answer is expected.
            context.close();
        }
    }
}
