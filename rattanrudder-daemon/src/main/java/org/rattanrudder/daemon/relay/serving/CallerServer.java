package org.rattanrudder.daemon.relay.serving;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.rattanrudder.daemon.relay.process.GracefulShutdown;
import org.rattanrudder.daemon.relay.process.RelayState;

/** Serves the connections of callers: sets up their channels, checks them periodically, and ends them on shutdown. */
public final class CallerServer implements GracefulShutdown.Callers {
    /**
     * Factor by which the decoder's limit on the head exceeds the configured one; their byte counts differ slightly.
     */
    private static final int HEADER_LIMIT_FACTOR = 2;

    private final ServingComponents components;
    private final Set<CallerConnection> callers = new HashSet<>();

    /** Creates a server without connections. */
    public CallerServer(ServingComponents components) {
        this.components = components;
    }

    /** Returns the initializer of channels for callers. */
    public ChannelInitializer<Channel> channels() {
        RelayState state = components.state();
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                if (!state.admitsConnection()) {
                    channel.close();
                    return;
                }
                StrictRequestDecoder decoder =
                        new StrictRequestDecoder(state.limits().maxHeaderBytes() * HEADER_LIMIT_FACTOR);
                CallerConnection connection = new CallerConnection(components, decoder, callers);
                channel.pipeline()
                        .addLast(new ReadRecorder(connection), decoder, new HttpResponseEncoder(), connection);
            }
        };
    }

    /** Returns the number of open connections. */
    public int size() {
        return callers.size();
    }

    /** Closes connections whose callers are too slow or idle; called periodically. */
    public void sweep(long nowMillis, boolean closeIdle) {
        List.copyOf(callers).forEach(caller -> caller.sweep(nowMillis, closeIdle));
    }

    @Override
    public void refuseQueued() {
        components.queues().refuseForStop();
    }

    @Override
    public void closeIdle() {
        sweep(components.state().nowMillis(), true);
    }

    @Override
    public boolean areOwed() {
        return callers.stream().anyMatch(CallerConnection::owes);
    }

    @Override
    public long endRequests() {
        return List.copyOf(callers).stream()
                .filter(CallerConnection::onShutdown)
                .count();
    }

    @Override
    public long cut() {
        return List.copyOf(callers).stream()
                .filter(caller -> caller.cut("process ends"))
                .count();
    }

    /** Notifies a connection of bytes before they are decoded. */
    private static final class ReadRecorder extends ChannelInboundHandlerAdapter {
        private final CallerConnection connection;

        ReadRecorder(CallerConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            connection.onBytesRead();
            context.fireChannelRead(message);
        }
    }
}
