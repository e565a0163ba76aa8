package org.rattanrudder.daemon.relay.store;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
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
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.rattanrudder.core.memory.ByteUse;
import org.rattanrudder.core.memory.Holding;
import org.rattanrudder.daemon.relay.net.CallResult;
import org.rattanrudder.daemon.relay.net.HttpCallClient;
import org.rattanrudder.daemon.relay.net.RawByteCounter;
import org.rattanrudder.daemon.relay.port.StoreRead;
import org.rattanrudder.daemon.relay.process.RelayState;

/**
 * Reads the platform's store for peers that it refuses.
 *
 * <p>Each read is a call of its own to the store, made once it is asked for; nothing is answered from what this relay
 * has read before. It is refused at once if the store refuses this relay too, and if too many are being made.
 */
public final class PeerReadServer extends ChannelInitializer<Channel> {
    private static final int MAX_REQUEST_BYTES = 4 * 1_024;

    /** Of all peers together: what they ask for must not take the places of this relay's own calls. */
    private static final int MAX_READS_AT_ONCE = 8;

    private static final int MAX_CONNECTIONS = 128;

    /** How long a connection may be without a request, or a response may take to be received. */
    private static final long IDLE_MILLIS = 30_000;

    private static final long SEND_MILLIS = 3_000;

    private final RelayState state;
    private final Predicate<String> knownHosts;
    private int connections;
    private int readsInProgress;

    /**
     * Creates a server without connections.
     *
     * @param knownHosts says whether a peer is registered at a host
     */
    public PeerReadServer(RelayState state, Predicate<String> knownHosts) {
        this.state = state;
        this.knownHosts = knownHosts;
    }

    @Override
    protected void initChannel(Channel channel) {
        String host = ((InetSocketAddress) channel.remoteAddress()).getAddress().getHostAddress();
        if (!knownHosts.test(host) || connections >= MAX_CONNECTIONS) {
            channel.close();
            return;
        }
        connections++;
        channel.closeFuture().addListener(closed -> connections--);
        ReadHandler reads = new ReadHandler(channel, host);
        channel.pipeline()
                .addLast(
                        new RawByteCounter(reads::onBytesRead),
                        new HttpServerCodec(),
                        new HttpObjectAggregator(MAX_REQUEST_BYTES),
                        reads);
    }

    /** Handles the reads that one connection asks for, one at a time. */
    private final class ReadHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Channel channel;
        private final HttpCallClient store;
        private final Holding held;
        private int partialBytes;

        /** Whether a response is being received by the peer. */
        private boolean sending;

        private Future<?> end;

        ReadHandler(Channel channel, String host) {
            this.channel = channel;
            store = HttpCallClient.forLists(state.connector(), state.heldBytes(), state::store, state.storeCalls());
            held = state.heldBytes().holding(ByteUse.OWN_CALL, host);
            closeAfter(IDLE_MILLIS);
        }

        /** Records raw bytes before they are decoded; returns whether to decode them. */
        boolean onBytesRead(int count) {
            partialBytes += count;
            if (partialBytes > MAX_REQUEST_BYTES) {
                channel.close();
                return false;
            }
            return true;
        }

        private void closeAfter(long millis) {
            if (end != null) {
                end.cancel(false);
            }
            end = channel.eventLoop().schedule(() -> channel.close(), millis, TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            partialBytes = 0;
            Optional<StoreRead> read = request.decoderResult().isFailure()
                    ? Optional.empty()
                    : PeerReadFormat.parse(request.method(), request.uri());
            if (read.isEmpty() || store.isBusy() || sending) {
                context.close();
            } else if (state.storeRoute().isRefused() || readsInProgress >= MAX_READS_AT_ONCE) {
                refuse();
            } else {
                make(read.get());
            }
        }

        private void make(StoreRead read) {
            readsInProgress++;
            store.call(read.call(state.platform().store()), TopicReader.TIMEOUT_MILLIS, result -> {
                readsInProgress--;
                state.metrics().recordStoreCall("FOR_PEER");
                OptionalLong named = state.storeEra().namedBy(result);
                // Only its own position is of the era before: a peer that has asked in the new one can use the answer.
                state.storeEra().accept(result);
                if (result instanceof CallResult.Answered answered && !answered.isServed()) {
                    state.storeRoute().onRefused(answered.reason());
                    refuse();
                } else if (result instanceof CallResult.Answered answered && held.tryGrowTo(answered.body().length)) {
                    state.metrics().recordReadForPeer(true);
                    respond(answered.response().status(), answered.body(), named);
                } else {
                    refuse();
                }
            });
        }

        private void refuse() {
            state.metrics().recordReadForPeer(false);
            respond(HttpResponseStatus.SERVICE_UNAVAILABLE, new byte[0], OptionalLong.empty());
        }

        private void respond(HttpResponseStatus status, byte[] body, OptionalLong era) {
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
            HttpUtil.setContentLength(response, body.length);
            era.ifPresent(named -> PeerReadFormat.writeEra(response, named));
            sending = true;
            closeAfter(SEND_MILLIS);
            channel.writeAndFlush(response).addListener(sent -> {
                sending = false;
                held.shrinkTo(0);
                if (channel.isActive()) {
                    closeAfter(IDLE_MILLIS);
                }
            });
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            end.cancel(false);
            if (store.isBusy()) {
                readsInProgress--;
            }
            store.close();
            held.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // The peer has disconnected or doesn't speak HTTP, so no answer is expected.
            context.close();
        }
    }
}
